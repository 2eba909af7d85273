// Package bounded keeps metrics whose labels come from outside (routes, servers, reasons) within a number
// of series, so that a long life or a large configuration can't fill the memory.
package bounded

import (
	"fmt"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// other is the value of every label once a family is full.
const other = "other"

// Family is one metric with labels.
type Family[T any] struct {
	name   string
	labels []string
	most   int
	create func(name string) T

	mu     sync.Mutex
	series map[string]T
}

// Counters returns a family of counters with at most so many series, and one for the rest.
func Counters(name string, most int, labels ...string) *Family[*metrics.Counter] {
	return newFamily(name, most, labels, metrics.GetOrCreateCounter)
}

// Histograms returns a family of histograms with at most so many series, and one for the rest.
func Histograms(name string, most int, labels ...string) *Family[*metrics.Histogram] {
	return newFamily(name, most, labels, metrics.GetOrCreateHistogram)
}

func newFamily[T any](name string, most int, labels []string, create func(string) T) *Family[T] {
	return &Family[T]{name: name, labels: labels, most: most, create: create, series: make(map[string]T)}
}

// With returns the series of some values, one for each label.
func (f *Family[T]) With(values ...string) T {
	key := strings.Join(values, "\x00")
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.series[key]; ok {
		return s
	}
	if len(f.series) >= f.most {
		return f.create(f.spell(func(int) string { return other }))
	}
	s := f.create(f.spell(func(n int) string { return values[n] }))
	f.series[key] = s
	return s
}

func (f *Family[T]) spell(value func(n int) string) string {
	pairs := make([]string, 0, len(f.labels))
	for n, l := range f.labels {
		pairs = append(pairs, fmt.Sprintf("%s=%q", l, value(n)))
	}
	return f.name + "{" + strings.Join(pairs, ",") + "}"
}
