// Package seeded runs property tests with fixed seeds, so that each run gives the same result.
package seeded

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
)

// Main is the body of a TestMain: its package's property tests use the seed and run the given number of checks.
func Main(m *testing.M, seed, checks int) {
	flag.Parse()
	for n, v := range map[string]int{"rapid.seed": seed, "rapid.checks": checks} {
		if err := flag.Set(n, strconv.Itoa(v)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}
