package settings

import (
	"fmt"
	"strings"
)

// FieldError is an invalid field of the file, named by its path.
type FieldError struct {
	Path   string
	Reason string
}

// FieldErrors lists every invalid field.
type FieldErrors []FieldError

// Error returns one line for each invalid field.
func (f FieldErrors) Error() string {
	lines := make([]string, 0, len(f))
	for _, e := range f {
		lines = append(lines, fmt.Sprintf("%s: %s", e.Path, e.Reason))
	}
	return strings.Join(lines, "\n")
}
