package dispatch

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/cold"
	"verbenaledge.example/verbena/crash"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/scripted"
)

// TestScripts replays the scripts of testdata. A line is an event with its time in milliseconds; each line with "> " after
// it is a command that must follow from it, in any order. A slot request is named by its host and ticket: f1/2.
func TestScripts(t *testing.T) {
	scripted.Run(t, func() scripted.Step {
		s := &script{
			scheduler: New(""), servers: make(map[ids.BackendID]directory.Server), rates: make(map[ids.WorkspaceID]Rate),
			start: time.Unix(1000, 0),
		}
		return func(t *testing.T, words scripted.Words) []string { return s.step(t, words) }
	})
}

type script struct {
	scheduler *Scheduler
	servers   map[ids.BackendID]directory.Server
	rates     map[ids.WorkspaceID]Rate
	start     time.Time
	now       time.Time
	// reports are the crash reports last sent.
	reports []crash.Report
}

func (s *script) step(t *testing.T, words []string) (got []string) {
	ms, err := strconv.Atoi(words[0])
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%v", words))
	s.now = s.start.Add(time.Duration(ms) * time.Millisecond)
	s.scheduler.ObserveList(s.now, listState(words[2:]))
	for _, c := range s.scheduler.Step(s.now, s.event(t, words[1], words[2:])) {
		switch c := c.(type) {
		case BrokenSendCounted, CrashReported, CrashRefuted, StreamsRecorded, OriginsCollected, VersionsChanged: // for logs, other hosts and the store
		case CrashReportsChanged:
			s.reports = c.Reports
			got = append(got, describeReports(c.Reports))
		default:
			got = append(got, describe(c))
		}
	}
	return got
}

// servicesChanged parses a service whose cold servers tolerate "cold" requests a second, and "max" within a second at most.
func servicesChanged(words []string, o options) Event {
	return ServicesChanged{Services: map[ids.ServiceName]ServiceTraits{ids.ServiceName(words[0]): {
		Cold:     cold.Bound{PerSecond: float64(o.number("cold", 0)), MaxInSecond: float64(o.number("max", 0))},
		ColdTime: o.time("cold_time", 0), MemoryTokens: o.number("memory", 0),
	}}}
}

// event parses an event of a script.
func (s *script) event(t *testing.T, name string, words []string) Event {
	o := parseOptions(words)
	switch name {
	case "server":
		id := ids.BackendID(words[0])
		s.servers[id] = directory.Server{
			ID: id, Service: ids.ServiceName(words[1]), Slots: o.number("slots", 1), Zone: ids.ZoneID(o["zone"]), Draining: o["draining"] != "",
			Incarnation: directory.Incarnation(o.number("incarnation", 0)), SoftwareVersion: directory.SoftwareVersion(o["version"]),
			Evacuated: o["evacuated"] != "", WarmupRemaining: o.time("cold", 0), Revision: uint64(o.number("revision", 0)),
		}
		return ServersChanged{Servers: s.servers}
	case "remove":
		delete(s.servers, ids.BackendID(words[0]))
		return ServersChanged{Servers: s.servers}
	case "rate":
		s.rates[ids.WorkspaceID(words[0])] = Rate{PerSecond: float64(o.number("rate", 1)), Burst: float64(o.number("burst", 1))}
		return RatesChanged{Rates: s.rates}
	case "request", "batch":
		return SlotRequested{Host: host(words[0]), Request: slotRequest(name, words, o)}
	case "end":
		return SendEnded{Host: host(words[0]), Outcome: Outcome{
			Ticket: ticket(words[0]), Result: results[words[1]], StreamEvents: o.number("events", 0), Elapsed: o.time("elapsed", 0),
			TimeToFirstByte: o.time("first_byte", 0), Unanswered: o["unanswered"] != "", NotSent: o["not_sent"] != "",
			ConnectionAge: o.time("connection_age", 0), Pace: o.number("pace", 0), PaceAge: o.time("pace_age", 0),
		}}
	case "began":
		return AnswerBegan{Key: Key{Host: host(words[0]), Ticket: ticket(words[0])}}
	case "reports":
		return s.reportsReceived(o)
	case "connect":
		return hostConnected(t, words, o)
	case "disconnect":
		return HostDisconnected{Host: ids.HostID(words[0]), Silent: o["silent"] != ""}
	case "leaving":
		return HostLeaving{Host: ids.HostID(words[0])}
	case "standby":
		return StandbyChanged{On: words[0] == "on", EntryHosts: o.number("entry_hosts", 0)}
	case "lease_uncertain":
		return LeaseUncertain{Uncertain: words[0] == "on"}
	case "stalled", "responding":
		return ServerStalled{Host: host(words[0]), Report: StallReport{Ticket: ticket(words[0]), SilentFor: o.time("silent", 0)}}
	case "tick":
		return Tick{}
	}
	if e := s.limitEvent(t, name, words, o); e != nil {
		return e
	}
	e := originEvent(name, words, o)
	qt.Assert(t, e, qt.IsNotNil, qt.Commentf("event %q is unknown", name))
	return e
}

// reportsReceived hands the crash reports that the script's scheduler last sent to it again, as those of another host, or
// with after=new to a scheduler that takes its place. With none, that one gets no reports.
func (s *script) reportsReceived(o options) Event {
	if o["after"] == "new" {
		s.scheduler = New("")
		s.scheduler.Step(s.now, ServersChanged{Servers: s.servers})
	}
	if o["none"] != "" {
		return CrashReportsReceived{}
	}
	return CrashReportsReceived{Reports: s.reports, Replace: o["replace"] != ""}
}

// hostConnected parses a host that connects. Among its words are the slots that it holds, as f1/1@server, and its recent
// rates of admitted requests a second, as workspace:rate.
func hostConnected(t *testing.T, words []string, o options) HostConnected {
	e := HostConnected{
		Host: ids.HostID(words[0]), AcceptsCallers: o["accepts_callers"] != "", EntryHosts: o.number("entry_hosts", 0),
		AdmittedPerSecond: make(map[ids.WorkspaceID]float64),
	}
	if w, n, ok := strings.Cut(o["admitted_elsewhere"], "/"); ok {
		count, err := strconv.Atoi(n)
		qt.Assert(t, err, qt.IsNil)
		e.AdmittedElsewhere = map[ids.WorkspaceID]int{ids.WorkspaceID(w): count}
	}
	for _, word := range words[1:] {
		if strings.HasPrefix(word, "limits=") {
			e.Limits = serverLimits(t, o["limits"])
			continue
		}
		if w, rate, ok := strings.Cut(word, ":"); ok {
			perSecond, err := strconv.ParseFloat(rate, 64)
			qt.Assert(t, err, qt.IsNil)
			e.AdmittedPerSecond[ids.WorkspaceID(w)] = perSecond
			continue
		}
		key, server, ok := strings.Cut(word, "@")
		if !ok {
			continue
		}
		req := slotRequest("request", []string{key, o["service"]}, options{"workspace": o["workspace"], "prompt": o["prompt"]})
		e.Held = append(e.Held, HeldSlot{Request: req, Server: ids.BackendID(server)})
	}
	return e
}

func slotRequest(event string, words []string, o options) SlotRequest {
	req := SlotRequest{
		Ticket: ticket(words[0]), Service: ids.ServiceName(words[1]), Workspace: ids.WorkspaceID(o["workspace"]),
		Objective: o.time("objective", 300*time.Millisecond), Remaining: o.time("remaining", 5*time.Second), FirstAttemptTime: o.time("route_timeout", 5*time.Second),
		Priority: o.number("priority", 0), StreamEvents: 1, Metered: o["workspace"] != "" && o["retry"] == "", Retry: o["retry"] != "", Zone: ids.ZoneID(o["zone"]),
		Fingerprint: uint64(o.number("fingerprint", 0)), Parts: promptParts(o["parts"]),
		PromptTokens: o.number("prompt", 0), OutputTokens: o.number("output", 0), PartTokens: partTokens(o["part_tokens"]),
	}
	req.Resumption = resumption(req.Service, o)
	if event == "batch" {
		req.Class, req.Objective, req.Remaining = Batch, o.time("due", 18*time.Second), o.time("remaining", time.Minute)
		req.StreamEvents = o.number("events", 0)
		req.Resumption = itemResumption(req.Service, o)
	}
	if excluded := o["exclude"]; excluded != "" {
		req.Exclude = []ids.BackendID{ids.BackendID(excluded)}
	}
	return req
}

var results = map[string]Result{
	"served": Served, "cancelled": Cancelled, "full": Full, "gone": Gone, "unreachable": Unreachable, "broken": Broken, "failed": Failed, "silent": Silent,
	"rejected": Rejected,
}

func describe(c Command) string {
	switch c := c.(type) {
	case Grant:
		trial := ""
		if c.Trial {
			trial = " trial"
		}
		if c.Resumption != nil && c.Resumption.MayHaveRestarted {
			trial += " may_have_restarted"
		}
		return fmt.Sprintf("grant %s/%d %s%s%s", c.Key.Host, c.Key.Ticket, c.Server.ID, trial, describeShare(c.Inputs))
	case Refuse:
		return fmt.Sprintf("refuse %s/%d %s %d%s", c.Key.Host, c.Key.Ticket, c.Reason, c.RetryAfter.Milliseconds(), describeShare(c.Inputs))
	case Yield:
		return fmt.Sprintf("yield %s/%d", c.Key.Host, c.Key.Ticket)
	case Wait:
		return fmt.Sprintf("wait %s/%d", c.Key.Host, c.Key.Ticket)
	case LimitsChanged:
		return describeLimits(c.Limits)
	}
	return "unknown"
}

// describeReports returns the candidates of each report.
func describeReports(list []crash.Report) string {
	text := "reports"
	for _, r := range list {
		text += " " + string(r.Server) + ":" + joinParts(r.Candidates)
	}
	return text
}

func promptParts(list string) (parts []ids.PromptPartID) {
	if list == "" {
		return nil
	}
	for p := range strings.SplitSeq(list, ",") {
		parts = append(parts, ids.PromptPartID(p))
	}
	return parts
}

func partTokens(list string) (tokens []int) {
	if list == "" {
		return nil
	}
	for p := range strings.SplitSeq(list, ",") {
		n, _ := strconv.Atoi(p) // 0 stands for an unknown size
		tokens = append(tokens, n)
	}
	return tokens
}

func joinParts(parts []ids.PromptPartID) string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = string(p)
	}
	return strings.Join(names, ",")
}

type options map[string]string

func parseOptions(words []string) options {
	o := make(options)
	for _, w := range words {
		if k, v, ok := strings.Cut(w, "="); ok {
			o[k] = v
		}
	}
	return o
}

func (o options) number(k string, fallback int) int {
	if n, err := strconv.Atoi(o[k]); err == nil {
		return n
	}
	return fallback
}

func (o options) time(k string, fallback time.Duration) time.Duration {
	if d, err := time.ParseDuration(o[k]); err == nil {
		return d
	}
	return fallback
}

func host(key string) ids.HostID {
	h, _, _ := strings.Cut(key, "/")
	return ids.HostID(h)
}

func ticket(key string) Ticket {
	_, n, _ := strings.Cut(key, "/")
	v, err := strconv.ParseUint(n, 10, 64)
	if err != nil {
		return 0
	}
	return Ticket(v)
}
