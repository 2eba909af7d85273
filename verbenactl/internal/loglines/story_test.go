package loglines

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStories explains the first word of each file's name, and expects the lines of the .want beside it.
func TestStories(t *testing.T) {
	files, err := filepath.Glob("testdata/*.log")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, file := range files {
		f, err := os.Open(file)
		qt.Assert(t, err, qt.IsNil)
		lines, _, err := Read(f)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, f.Close(), qt.IsNil)
		id, _, _ := strings.Cut(filepath.Base(file), ".")
		s, found := Explain(lines, id, 2*time.Second)
		qt.Assert(t, found, qt.IsTrue)
		got := make([]string, 0, len(s.Lines)+1)
		for _, l := range s.Lines {
			got = append(got, l.Host()+" "+l.Message)
		}
		name, _, _ := strings.Cut(s.Cause, ":")
		got = append(got, "cause "+name)
		want, err := os.ReadFile(strings.TrimSuffix(file, ".log") + ".want")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, strings.Join(got, "\n")+"\n", qt.Equals, string(want), qt.Commentf("%s", file))
	}
}

func TestUnknownIDAndForeignLines(t *testing.T) {
	lines, skipped, err := Read(strings.NewReader("no json\n{\"message\":1}\n  1.5 host {\"message\":\"m\",\"fields\":{\"request_id\":\"a\"}}\n"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, skipped, qt.Equals, 2)
	qt.Assert(t, lines, qt.HasLen, 1)
	_, found := Explain(lines, "b", time.Second)
	qt.Assert(t, found, qt.IsFalse)
}
