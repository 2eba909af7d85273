// Package placing compares ways of placing requests on backend servers, on recorded loads and a model of
// the servers. It runs the decisions that the programs run, without their input and output, and measures
// what callers see.
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
	// Events is the length of the answer.
	Events int
}

// ReadLoad reads a recorded load, a line a request: milliseconds, host, events.
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

// Dense returns a load with so many times as many requests at the same moments, 1.5 for instance.
func Dense(load []Arrival, times float64) (dense []Arrival) {
	due := 0.0
	for _, a := range load {
		for due += times; due >= 1; due-- {
			dense = append(dense, a)
		}
	}
	return dense
}
