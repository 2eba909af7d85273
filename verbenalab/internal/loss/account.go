package loss

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// window is the span whose losses are counted together.
const window = 2 * time.Second

// longestLine bounds one line, in bytes.
const longestLine = 1 << 20

// Account counts requests and items by cause: of the whole time, by route, by workspace, and by window.
type Account struct {
	All         Counts
	Routes      map[string]Counts
	Workspaces  map[string]Counts
	windows     map[int64]Counts
	first       time.Time
	yields      int
	yieldedRuns int
}

// Counts are numbers by cause.
type Counts map[Cause]int

// Read takes lines until their end.
func Read(r io.Reader) (a *Account, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read log lines: %w", err)
		}
	}()
	a = &Account{All: make(Counts), Routes: make(map[string]Counts), Workspaces: make(map[string]Counts), windows: make(map[int64]Counts)}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		if l, ok := parse(lines.Bytes()); ok {
			a.take(&l)
		}
	}
	return a, lines.Err()
}

func (a *Account) take(l *line) {
	if a.first.IsZero() {
		a.first = l.Timestamp
	}
	c, ok := l.cause()
	if !ok {
		return
	}
	a.All[c]++
	in(a.Routes, l.Fields.Route)[c]++
	in(a.Workspaces, l.Fields.Workspace)[c]++
	n := int64(l.Timestamp.Sub(a.first) / window)
	if a.windows[n] == nil {
		a.windows[n] = make(Counts)
	}
	a.windows[n][c]++
	if l.Message == "item ended" {
		a.yields += l.Fields.Yields
		if l.Fields.Yields > 0 {
			a.yieldedRuns++
		}
	}
}

func in(m map[string]Counts, k string) Counts {
	if m[k] == nil {
		m[k] = make(Counts)
	}
	return m[k]
}

// lost counts the losses.
func (c Counts) lost() (n int) {
	for k, v := range c {
		if k.Lost() {
			n += v
		}
	}
	return n
}

// causes are those that were seen, the most frequent first.
func (c Counts) causes() (list []Cause) {
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

// worst are the windows with the most losses.
func (a *Account) worst(n int) (list []int64) {
	for k := range a.windows {
		list = append(list, k)
	}
	sort.Slice(list, func(i, j int) bool {
		if x, y := a.windows[list[i]].lost(), a.windows[list[j]].lost(); x != y {
			return x > y
		}
		return list[i] < list[j]
	})
	return list[:min(n, len(list))]
}

// worstWindows is how many windows are shown, mostNames how many routes and workspaces.
const (
	worstWindows = 3
	mostNames    = 5
)

// String is the account as a text.
func (a *Account) String() string {
	w := &strings.Builder{}
	fmt.Fprintln(w, "all")
	a.All.write(w)
	fmt.Fprintf(w, "items that left a slot to a caller: %d, %d times\n", a.yieldedRuns, a.yields)
	for _, n := range a.worst(worstWindows) {
		fmt.Fprintf(w, "from %s to %s\n", time.Duration(n)*window, time.Duration(n+1)*window)
		a.windows[n].write(w)
	}
	writeNames(w, "route", a.Routes)
	writeNames(w, "workspace", a.Workspaces)
	return w.String()
}

func (c Counts) write(w *strings.Builder) {
	for _, k := range c.causes() {
		fmt.Fprintf(w, "%8d  %s\n", c[k], k)
	}
}

// writeNames prints those with the most losses.
func writeNames(w *strings.Builder, what string, m map[string]Counts) {
	var names []string
	for n := range m {
		if n != "" {
			names = append(names, n)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		if x, y := m[names[i]].lost(), m[names[j]].lost(); x != y {
			return x > y
		}
		return names[i] < names[j]
	})
	for _, n := range names[:min(mostNames, len(names))] {
		fmt.Fprintf(w, "%s %s\n", what, n)
		m[n].write(w)
	}
}
