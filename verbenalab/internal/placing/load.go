// Package placing simulates the placement of recorded requests on modelled backend servers. It runs the same scheduler as
// the daemon, without network and storage, and compares what callers see under several policies.
package placing

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"time"
)

// Arrival is a caller's request.
type Arrival struct {
	At time.Duration
	// Host is the number of the host that the caller reaches, from 1.
	Host int
	// Events is the length of the answer in events.
	Events int
}

// ReadLoad reads a recorded load, which has a line per request with its time in milliseconds, its host and its events.
func ReadLoad(r io.Reader) (load []Arrival, err error) {
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		var ms int
		var a Arrival
		if _, err := fmt.Sscan(text, &ms, &a.Host, &a.Events); err != nil {
			return nil, fmt.Errorf("line %d of the load: %w; it must be milliseconds, host and events", n, err)
		}
		a.At = time.Duration(ms) * time.Millisecond
		load = append(load, a)
	}
	return load, lines.Err()
}

// Multiply returns a load with factor times as many requests, at the same times. The factor may be a fraction such as 1.5.
func Multiply(load []Arrival, factor float64) (multiplied []Arrival) {
	pending := 0.0
	for _, a := range load {
		for pending += factor; pending >= 1; pending-- {
			multiplied = append(multiplied, a)
		}
	}
	return multiplied
}
