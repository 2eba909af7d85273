package rules

import "fmt"

// LineError names a wrong line of a rules file.
type LineError struct {
	Line   int
	Reason string
}

// Error states the line number, from 1, and the reason.
func (e LineError) Error() string {
	return fmt.Sprintf("line %d: %s", e.Line, e.Reason)
}
