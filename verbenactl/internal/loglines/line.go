// Package loglines reads the structured lines of many processes and merges what they say of one request.
package loglines

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// maxLine bounds a line.
const maxLine = 1 << 20

// Line is one decision or change of belief of a process.
type Line struct {
	Time    time.Time      `json:"timestamp"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// Read returns the lines of a stream. Text before a line's JSON, as a log collector writes it, and
// lines that are none of ours are left out and counted.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), maxLine)
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

// Host names the process's host.
func (l Line) Host() string { return l.text("host") }

func (l Line) text(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// about tells whether a line is on a request, a batch job or an item.
func (l Line) about(id string) bool {
	return l.text("request_id") == id || l.text("job") == id || l.text("item") == id
}

// String writes a line for people.
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
