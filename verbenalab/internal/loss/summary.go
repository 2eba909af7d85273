package loss

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// windowLength is the length of the time windows in which losses are counted.
const windowLength = 2 * time.Second

const maxLineBytes = 1 << 20

// Summary counts requests and batch items by cause: in total, by route, by workspace and by time window.
type Summary struct {
	Total        Counts
	Routes       map[string]Counts
	Workspaces   map[string]Counts
	windows      map[int64]Counts
	first        time.Time
	yields       int
	yieldedItems int
}

// Counts maps each cause to its number of requests and items.
type Counts map[Cause]int

// Read summarizes all log lines of r.
func Read(r io.Reader) (s *Summary, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read log lines: %w", err)
		}
	}()
	s = &Summary{Total: make(Counts), Routes: make(map[string]Counts), Workspaces: make(map[string]Counts), windows: make(map[int64]Counts)}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if l, ok := parseLine(lines.Bytes()); ok {
			s.add(&l)
		}
	}
	return s, lines.Err()
}

func (s *Summary) add(l *logLine) {
	if s.first.IsZero() {
		s.first = l.Timestamp
	}
	c, ok := l.cause()
	if !ok {
		return
	}
	s.Total[c]++
	countsOf(s.Routes, l.Fields.Route)[c]++
	countsOf(s.Workspaces, l.Fields.Workspace)[c]++
	n := int64(l.Timestamp.Sub(s.first) / windowLength)
	if s.windows[n] == nil {
		s.windows[n] = make(Counts)
	}
	s.windows[n][c]++
	if l.Message == "item ended" {
		s.yields += l.Fields.Yields
		if l.Fields.Yields > 0 {
			s.yieldedItems++
		}
	}
}

// countsOf returns the counts under a key, which it adds if it is missing.
func countsOf(m map[string]Counts, k string) Counts {
	if m[k] == nil {
		m[k] = make(Counts)
	}
	return m[k]
}

// losses returns the number of losses among the counts.
func (c Counts) losses() (n int) {
	for k, v := range c {
		if k.IsLoss() {
			n += v
		}
	}
	return n
}

// sortedCauses returns the counted causes, most frequent first.
func (c Counts) sortedCauses() (list []Cause) {
	for k := range c {
		list = append(list, k)
	}
	sort.Slice(list, func(i, j int) bool {
		if c[list[i]] != c[list[j]] {
			return c[list[i]] > c[list[j]]
		}
		return list[i] < list[j]
	})
	return list
}

// worstWindows returns the numbers of the n windows with the most losses, counted from the first line.
func (s *Summary) worstWindows(n int) (list []int64) {
	for k := range s.windows {
		list = append(list, k)
	}
	sort.Slice(list, func(i, j int) bool {
		if x, y := s.windows[list[i]].losses(), s.windows[list[j]].losses(); x != y {
			return x > y
		}
		return list[i] < list[j]
	})
	return list[:min(n, len(list))]
}

const (
	// shownWindows is the number of windows that are printed, those with the most losses.
	shownWindows = 3
	// shownNames is the number of routes and of workspaces that are printed, those with the most losses.
	shownNames = 5
)

// String returns the summary as text.
func (s *Summary) String() string {
	w := &strings.Builder{}
	fmt.Fprintln(w, "all")
	s.Total.writeTo(w)
	fmt.Fprintf(w, "items that yielded to a caller: %d, %d times\n", s.yieldedItems, s.yields)
	for _, n := range s.worstWindows(shownWindows) {
		fmt.Fprintf(w, "from %s to %s\n", time.Duration(n)*windowLength, time.Duration(n+1)*windowLength)
		s.windows[n].writeTo(w)
	}
	writeNames(w, "route", s.Routes)
	writeNames(w, "workspace", s.Workspaces)
	return w.String()
}

func (c Counts) writeTo(w *strings.Builder) {
	for _, k := range c.sortedCauses() {
		fmt.Fprintf(w, "%8d  %s\n", c[k], k)
	}
}

// writeNames prints the counts of the names with the most losses.
func writeNames(w *strings.Builder, heading string, m map[string]Counts) {
	var names []string
	for n := range m {
		if n != "" {
			names = append(names, n)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		if x, y := m[names[i]].losses(), m[names[j]].losses(); x != y {
			return x > y
		}
		return names[i] < names[j]
	})
	for _, n := range names[:min(shownNames, len(names))] {
		fmt.Fprintf(w, "%s %s\n", heading, n)
		m[n].writeTo(w)
	}
}
