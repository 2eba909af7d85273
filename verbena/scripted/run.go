// Package scripted runs tests of decision logic from script files: each line is an event, followed by the results that
// the test expects of it.
package scripted

import (
	"bufio"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Step applies one event, a line split into words, and returns its results.
type Step func(t *testing.T, words Words) (got []string)

// Run replays each script testdata/*.txt with a new Step. A line is an event. The lines after it that begin with "> "
// are all its results, in any order. "#" begins a comment.
func Run(t *testing.T, newStep func() Step) {
	files, err := filepath.Glob("testdata/*.txt")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) { replay(t, f, newStep()) })
	}
}

func replay(t *testing.T, file string, step Step) {
	f, err := os.Open(file)
	qt.Assert(t, err, qt.IsNil)
	defer func() { qt.Check(t, f.Close(), qt.IsNil) }()
	var got, want []string
	lineNumber, event := 0, ""
	check := func() {
		sort.Strings(got)
		sort.Strings(want)
		qt.Assert(t, strings.Join(got, "\n"), qt.Equals, strings.Join(want, "\n"), qt.Commentf("%s:%d %s", file, lineNumber, event))
		got, want = nil, nil
	}
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		lineNumber++
		text := strings.TrimSpace(strings.SplitN(lines.Text(), "#", 2)[0])
		if text == "" {
			continue
		}
		if w, ok := strings.CutPrefix(text, "> "); ok {
			want = append(want, w)
			continue
		}
		check()
		event = text
		got = step(t, strings.Fields(text))
	}
	qt.Assert(t, lines.Err(), qt.IsNil)
	check()
}

// Words are the words of an event's line.
type Words []string

// At returns word n, counted from 0, or "" if there is none.
func (w Words) At(n int) string {
	if n < len(w) {
		return w[n]
	}
	return ""
}

// Number returns word n as a number, or 0 if it isn't one.
func (w Words) Number(n int) int {
	v, _ := strconv.Atoi(w.At(n)) // a wrong number makes the line's results differ
	return v
}

// Time returns the time that the first word gives in milliseconds after the start of the script.
func (w Words) Time() time.Time {
	return time.Unix(1000, 0).Add(time.Duration(w.Number(0)) * time.Millisecond)
}

// Option returns the value of the word "name=value", or "" if there is none.
func (w Words) Option(name string) string {
	for _, s := range w {
		if v, ok := strings.CutPrefix(s, name+"="); ok {
			return v
		}
	}
	return ""
}
