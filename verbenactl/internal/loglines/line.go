// Package loglines reads the structured logs of many processes and extracts the lines that explain one request.
package loglines

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"
)

// maxLineBytes bounds the length of a line.
const maxLineBytes = 1 << 20

// Line is one structured log line of a process.
type Line struct {
	Time    time.Time      `json:"timestamp"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// Read returns the structured lines of a stream. It ignores text before a line's JSON, as log collectors add it, and
// skips and counts all other lines.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for s.Scan() {
		start := strings.IndexByte(s.Text(), '{')
		var l Line
		if start < 0 || json.Unmarshal([]byte(s.Text()[start:]), &l) != nil || l.Message == "" {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	if err := s.Err(); err != nil {
		return lines, skipped, fmt.Errorf("read log lines: %w", err)
	}
	return lines, skipped, nil
}

// Host returns the name of the process's host.
func (l Line) Host() string { return l.textField("host") }

func (l Line) textField(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// concerns reports whether the line has the id as that of a request, a batch job or an item.
func (l Line) concerns(id string) bool {
	return l.textField("request_id") == id || l.textField("job") == id || l.textField("item") == id
}

// concernsAny reports whether the line has one of the ids.
func (l Line) concernsAny(list []string) bool { return slices.ContainsFunc(list, l.concerns) }

// String formats the line for operators, with its fields in order of name.
func (l Line) String() string {
	names := make([]string, 0, len(l.Fields))
	for n := range l.Fields {
		if n != "host" {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-20s %-5s %s:", l.Time.UTC().Format("15:04:05.000"), l.Host(), l.Level, l.Message)
	for _, n := range names {
		fmt.Fprintf(&b, " %s=%v", n, l.Fields[n])
	}
	return b.String()
}
