package rules

import "fmt"

// LineError describes an invalid line of a rules file.
type LineError struct {
	Line   int
	Reason string
}

// Error returns the line number, counted from 1, and the reason.
func (e LineError) Error() string {
	return fmt.Sprintf("line %d: %s", e.Line, e.Reason)
}
