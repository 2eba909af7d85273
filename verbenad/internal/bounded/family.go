// Package bounded limits the number of series of metrics whose labels come from outside (routes, servers,
// reasons), so that neither a long uptime nor a large configuration exhausts memory.
package bounded

import (
	"fmt"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// overflowValue is the value of every label of the series that counts the rest once a family is full.
const overflowValue = "other"

// Family is one metric with labels and a bounded number of series.
type Family[T any] struct {
	name      string
	labels    []string
	maxSeries int
	create    func(name string) T

	mu     sync.Mutex
	series map[string]T
}

// Counters returns a family of counters with at most maxSeries series, and one more for the rest.
func Counters(name string, maxSeries int, labels ...string) *Family[*metrics.Counter] {
	return newFamily(name, maxSeries, labels, metrics.GetOrCreateCounter)
}

// Histograms returns a family of histograms with at most maxSeries series, and one more for the rest.
func Histograms(name string, maxSeries int, labels ...string) *Family[*metrics.Histogram] {
	return newFamily(name, maxSeries, labels, metrics.GetOrCreateHistogram)
}

func newFamily[T any](name string, maxSeries int, labels []string, create func(string) T) *Family[T] {
	return &Family[T]{name: name, labels: labels, maxSeries: maxSeries, create: create, series: make(map[string]T)}
}

// With returns the series for the given label values, one for each label.
func (f *Family[T]) With(values ...string) T {
	key := strings.Join(values, "\x00")
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.series[key]; ok {
		return s
	}
	if len(f.series) >= f.maxSeries {
		return f.create(f.seriesName(func(int) string { return overflowValue }))
	}
	s := f.create(f.seriesName(func(n int) string { return values[n] }))
	f.series[key] = s
	return s
}

func (f *Family[T]) seriesName(value func(n int) string) string {
	pairs := make([]string, 0, len(f.labels))
	for n, l := range f.labels {
		pairs = append(pairs, fmt.Sprintf("%s=%q", l, value(n)))
	}
	return f.name + "{" + strings.Join(pairs, ",") + "}"
}
