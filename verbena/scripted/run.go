// Package scripted replays the histories of data files in tests of decisions.
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

// Step applies one line of a file, split into words, and returns what follows from it.
type Step func(t *testing.T, words Words) (got []string)

// Run plays each file of testdata against a machine of its own. A line is an event; the lines after it
// that begin with "> " are all that must follow from it, in any order. "#" begins a comment.
func Run(t *testing.T, start func() Step) {
	files, err := filepath.Glob("testdata/*.txt")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) { play(t, f, start()) })
	}
}

func play(t *testing.T, file string, step Step) {
	f, err := os.Open(file)
	qt.Assert(t, err, qt.IsNil)
	defer func() { qt.Check(t, f.Close(), qt.IsNil) }()
	var got, want []string
	line, at := 0, ""
	check := func() {
		sort.Strings(got)
		sort.Strings(want)
		qt.Assert(t, strings.Join(got, "\n"), qt.Equals, strings.Join(want, "\n"), qt.Commentf("%s:%d %s", file, line, at))
		got, want = nil, nil
	}
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		line++
		text := strings.TrimSpace(strings.SplitN(lines.Text(), "#", 2)[0])
		if text == "" {
			continue
		}
		if w, ok := strings.CutPrefix(text, "> "); ok {
			want = append(want, w)
			continue
		}
		check()
		at = text
		got = step(t, strings.Fields(text))
	}
	qt.Assert(t, lines.Err(), qt.IsNil)
	check()
}

// Words are the words of a line.
type Words []string

// At is a word, or nothing.
func (w Words) At(n int) string {
	if n < len(w) {
		return w[n]
	}
	return ""
}

// Number is a word as a number, 0 if it is none.
func (w Words) Number(n int) int {
	v, _ := strconv.Atoi(w.At(n)) // a line with a wrong number fails by what follows from it
	return v
}

// Time is the first word as milliseconds after the start of the history.
func (w Words) Time() time.Time {
	return time.Unix(1000, 0).Add(time.Duration(w.Number(0)) * time.Millisecond)
}

// Option is the value of a word "name=value".
func (w Words) Option(name string) string {
	for _, one := range w {
		if v, ok := strings.CutPrefix(one, name+"="); ok {
			return v
		}
	}
	return ""
}
