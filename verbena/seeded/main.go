// Package seeded runs tests with fixed seeds, so that each run gives the same verdict.
package seeded

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
)

// Main is a TestMain whose property tests use a seed and a number of runs.
func Main(m *testing.M, seed, runs int) {
	flag.Parse()
	for name, value := range map[string]int{"rapid.seed": seed, "rapid.checks": runs} {
		if err := flag.Set(name, strconv.Itoa(value)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}
