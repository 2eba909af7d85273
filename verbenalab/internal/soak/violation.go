package soak

import (
	"fmt"
	"time"
)

// Violation is a promise that was broken.
type Violation struct {
	Rule string
	// ID is of the request, job, host or server that shows it.
	ID   string
	Text string
	At   time.Time
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: %s: %s (%s)", v.Rule, v.ID, v.Text, v.At.Format("15:04:05.000"))
}
