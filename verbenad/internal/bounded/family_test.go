package bounded_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbenad/internal/bounded"
)

// TestSeriesAreBounded checks that everything beyond the bound counts in one series, and that nothing is lost.
func TestSeriesAreBounded(t *testing.T) {
	c := qt.New(t)
	f := bounded.Counters("bounded_test_total", 3, "server", "result")
	for n := range 100 {
		f.With(fmt.Sprint("server-", n), "served").Inc()
	}
	f.With("server-1", "served").Inc()
	var b bytes.Buffer
	metrics.WritePrometheus(&b, false)
	var lines []string
	for _, l := range strings.Split(b.String(), "\n") {
		if strings.HasPrefix(l, "bounded_test_total") {
			lines = append(lines, l)
		}
	}
	c.Assert(lines, qt.DeepEquals, []string{
		`bounded_test_total{server="other",result="other"} 97`,
		`bounded_test_total{server="server-0",result="served"} 1`,
		`bounded_test_total{server="server-1",result="served"} 2`,
		`bounded_test_total{server="server-2",result="served"} 1`,
	})
}

// TestValuesAreQuoted checks that a label value from outside can't break the metrics page.
func TestValuesAreQuoted(t *testing.T) {
	bounded.Counters("bounded_quoted_total", 3, "route").With("a\"}\nb 1").Inc()
	var b bytes.Buffer
	metrics.WritePrometheus(&b, false)
	qt.Assert(t, b.String(), qt.Contains, `bounded_quoted_total{route="a\"}\nb 1"} 1`)
}
