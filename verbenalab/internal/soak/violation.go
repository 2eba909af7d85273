package soak

import (
	"fmt"
	"time"
)

// Violation is a guarantee that did not hold.
type Violation struct {
	Rule string
	// ID is the id of the request, job, host or server that shows the violation.
	ID   string
	Text string
	At   time.Time
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: %s: %s (%s)", v.Rule, v.ID, v.Text, v.At.Format("15:04:05.000"))
}
