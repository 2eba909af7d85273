package catalogcheck_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/catalogcheck"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/scripted"
)

// TestScripts guards against findings that are missing, superfluous, or of the wrong severity or place. Each script states
// configurations and lists all findings that it expects of them. "check" checks the configuration stated so far, "in_force" makes
// it the version in force, and "compare" compares the one stated after that with it.
func TestScripts(t *testing.T) {
	scripted.Run(t, func() scripted.Step {
		s := &script{draft: newDraft()}
		return s.step
	})
}

type script struct {
	draft, inForce catalogcheck.Draft
}

func newDraft() catalogcheck.Draft { return catalogcheck.Draft{MaxJobItems: 200} }

func (s *script) step(t *testing.T, w scripted.Words) (got []string) {
	d := &s.draft
	switch w.At(0) {
	case "new":
		*d = newDraft()
	case "in_force":
		s.inForce, *d = *d, newDraft()
	case "version":
		d.Version = catalog.Version(w.Number(1))
	case "route":
		d.Routes = append(d.Routes, parseRoute(t, w))
	case "service":
		d.Services = append(d.Services, catalog.Service{
			Name: ids.ServiceName(w.At(1)), HealthPath: w.Option("health"), MaxConnections: number(t, w, "connections"),
			ColdPerSecond: decimal(t, w, "cold_per_s"), ColdTime: duration(t, w, "cold_time"), MemoryTokens: number(t, w, "memory"),
		})
	case "workspace":
		d.Workspaces = append(d.Workspaces, parseWorkspace(t, w))
	case "limits":
		d.Limits = catalog.Limits{
			HeaderBytes: number(t, w, "header"), BodyBytes: int64(number(t, w, "body")),
			HeaderTimeout: duration(t, w, "header_timeout"), IdleTimeout: duration(t, w, "idle_timeout"),
		}
	case "check":
		return format(catalogcheck.Check(*d))
	case "compare":
		return format(catalogcheck.Compare(s.inForce, *d))
	default:
		t.Fatalf("unknown event %q", w.At(0))
	}
	return nil
}

func format(findings []catalogcheck.Finding) (lines []string) {
	for _, f := range findings {
		line := f.Severity.String() + " " + f.Place.String()
		for _, n := range f.Fields {
			line += " " + string(n)
		}
		lines = append(lines, line+": "+f.Text)
	}
	return lines
}

var kinds = map[string]catalog.Kind{
	"": catalog.KindIdempotent, "idempotent": catalog.KindIdempotent, "non_idempotent": catalog.KindNonIdempotent,
	"streaming": catalog.KindStream, "batch": catalog.KindBatch,
}

// parseRoute reads a route. Host and prefix are "h" and its name between slashes, if the line doesn't state others.
func parseRoute(t *testing.T, w scripted.Words) catalog.Route {
	name := w.At(1)
	if strings.Contains(name, "=") {
		name = ""
	}
	r := catalog.Route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kinds[w.Option("kind")],
		Timeout: duration(t, w, "timeout"), Objective: duration(t, w, "objective"), MaxEventGap: duration(t, w, "event_gap"),
		Priority: number(t, w, "priority"), MaxAttempts: number(t, w, "attempts"), Public: w.Option("public") == "yes",
		Resumable: w.Option("resumable") == "yes", ResultsDueAfter: duration(t, w, "due"), GiveUpAfter: duration(t, w, "give_up"),
		TokenCap: int64(number(t, w, "cap")),
	}
	if host := w.Option("host"); host != "" {
		r.Host = strings.TrimPrefix(host, "none")
	}
	if prefix := w.Option("prefix"); prefix != "" {
		r.Prefix = prefix
	}
	for _, target := range split(w.Option("to")) {
		service, weight, ok := strings.Cut(target, ":")
		if !ok {
			weight = "1"
		}
		n, err := strconv.Atoi(weight)
		qt.Assert(t, err, qt.IsNil)
		r.Targets = append(r.Targets, catalog.Target{Service: ids.ServiceName(service), Weight: n})
	}
	return r
}

func parseWorkspace(t *testing.T, w scripted.Words) catalog.Workspace {
	workspace := catalog.Workspace{
		ID: ids.WorkspaceID(w.At(1)), Keys: split(w.Option("keys")), RatePerSecond: decimal(t, w, "rate"), Burst: decimal(t, w, "burst"),
	}
	for i, k := range workspace.Keys {
		workspace.Keys[i] = strings.TrimPrefix(k, "empty")
	}
	if w.Option("priority") != "" {
		priority := number(t, w, "priority")
		workspace.Priority = &priority
	}
	return workspace
}

func split(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' })
}

func number(t *testing.T, w scripted.Words, name string) int {
	return int(decimal(t, w, name))
}

func decimal(t *testing.T, w scripted.Words, name string) float64 {
	if w.Option(name) == "" {
		return 0
	}
	v, err := strconv.ParseFloat(w.Option(name), 64)
	qt.Assert(t, err, qt.IsNil)
	return v
}

func duration(t *testing.T, w scripted.Words, name string) time.Duration {
	if w.Option(name) == "" {
		return 0
	}
	d, err := time.ParseDuration(w.Option(name))
	qt.Assert(t, err, qt.IsNil)
	return d
}
