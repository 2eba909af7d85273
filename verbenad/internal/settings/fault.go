package settings

import (
	"fmt"
	"strings"
)

// Fault is a wrong place in the file, named by its path.
type FieldError struct {
	Path   string
	Reason string
}

// Faults lists every wrong place.
type FieldErrors []FieldError

// Error shows a line for each fault.
func (f FieldErrors) Error() string {
	lines := make([]string, 0, len(f))
	for _, x := range f {
		lines = append(lines, fmt.Sprintf("%s: %s", x.Path, x.Reason))
	}
	return strings.Join(lines, "\n")
}
