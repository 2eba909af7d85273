package loglines

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestExplain explains the id that begins each .log file's name, and expects the lines and the cause in the .want file
// of the same name.
func TestExplain(t *testing.T) {
	files, err := filepath.Glob("testdata/*.log")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, p := range files {
		f, err := os.Open(p)
		qt.Assert(t, err, qt.IsNil)
		lines, _, err := Read(f)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, f.Close(), qt.IsNil)
		id, _, _ := strings.Cut(filepath.Base(p), ".")
		e, found := Explain(lines, id, 2*time.Second)
		qt.Assert(t, found, qt.IsTrue)
		got := make([]string, 0, len(e.Lines)+1)
		for _, l := range e.Lines {
			got = append(got, l.Host()+" "+l.Message)
		}
		name, _, _ := strings.Cut(e.Cause, ":")
		got = append(got, "cause "+name)
		want, err := os.ReadFile(strings.TrimSuffix(p, ".log") + ".want")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, strings.Join(got, "\n")+"\n", qt.Equals, string(want), qt.Commentf("%s", p))
	}
}

// TestUnknownIDAndForeignLines: lines of other programs are skipped and counted, and an id in no line is not found.
func TestUnknownIDAndForeignLines(t *testing.T) {
	lines, skipped, err := Read(strings.NewReader("no json\n{\"message\":1}\n  1.5 host {\"message\":\"m\",\"fields\":{\"request_id\":\"a\"}}\n"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, skipped, qt.Equals, 2)
	qt.Assert(t, lines, qt.HasLen, 1)
	_, found := Explain(lines, "b", time.Second)
	qt.Assert(t, found, qt.IsFalse)
}
