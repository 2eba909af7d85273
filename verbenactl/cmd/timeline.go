package cmd

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/timeline"
)

type timelineCommand struct {
	Job       string   `long:"job" description:"only events of a job"`
	Request   string   `long:"request" description:"only events of a request"`
	Workspace string   `long:"workspace" description:"only events of a workspace"`
	Host      string   `long:"host" description:"only events of a host"`
	Files     []string `long:"file" value-name:"FILE" description:"read a timeline file instead of calling daemons"`
}

// Execute prints the events of all daemons, merged in order of time.
func (c *timelineCommand) Execute([]string) error {
	filter := timeline.Filter{
		Job: ids.JobID(c.Job), Request: ids.RequestID(c.Request),
		Workspace: ids.WorkspaceID(c.Workspace), Host: ids.HostID(c.Host),
	}
	lists, err := c.readLists(filter)
	if err != nil {
		return err
	}
	events := timeline.Merge(lists...)
	if globalOptions.JSON {
		return printJSON(events)
	}
	for _, e := range events {
		fmt.Println(eventLine(e))
	}
	return nil
}

func (c *timelineCommand) readLists(filter timeline.Filter) (lists [][]timeline.Event, err error) {
	if len(c.Files) == 0 {
		return fetchEvents(filter)
	}
	for _, n := range c.Files {
		list, err := readEvents(n, filter)
		if err != nil {
			return nil, err
		}
		lists = append(lists, list)
	}
	return lists, nil
}

func fetchEvents(filter timeline.Filter) (lists [][]timeline.Event, err error) {
	ctx, cancel := withTimeout(callTimeout)
	defer cancel()
	fleet, err := daemonFleet(ctx)
	if err != nil {
		return nil, err
	}
	lists, unanswered := fleet.Timeline(ctx, filter)
	for _, a := range unanswered {
		fmt.Fprintf(os.Stderr, "verbenactl: no events from %s\n", a)
	}
	return lists, nil
}

func readEvents(name string, filter timeline.Filter) (list []timeline.Event, err error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		var e timeline.Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("%s: line %d: %w", name, n, err)
		}
		if filter.Match(e) {
			list = append(list, e)
		}
	}
	return list, lines.Err()
}

func eventLine(e timeline.Event) string {
	parts := []string{
		time.UnixMicro(e.Stamp.Micros).UTC().Format("15:04:05.000000"), fmt.Sprintf("%-12s", e.Host), string(e.Kind),
	}
	for _, p := range []struct{ name, value string }{
		{"job", string(e.Job)},
		{"request", string(e.Request)},
		{"workspace", string(e.Workspace)},
		{"backend", string(e.Backend)},
		{"detail", e.Detail},
	} {
		if p.value != "" {
			parts = append(parts, p.name+"="+p.value)
		}
	}
	return strings.Join(parts, " ")
}
