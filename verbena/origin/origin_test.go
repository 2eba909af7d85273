package origin

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/scripted"
)

// TestScripts guards against origins and versions that are forgotten too early, or taken for known although they aren't. It
// replays the scripts of testdata. The first word of a line is the time in milliseconds.
func TestScripts(t *testing.T) {
	scripted.Run(t, func() scripted.Step {
		s := &script{records: NewRecords(), versions: NewVersions()}
		return s.step
	})
}

type script struct {
	records  *Records
	versions *Versions
	// stored is a history that a host wrote at storedAt.
	stored   History
	storedAt time.Time
}

func (s *script) step(t *testing.T, w scripted.Words) (got []string) {
	now := w.Time()
	switch w.At(1) {
	case "limit":
		s.records.limit = w.Number(2)
	case "add":
		s.records.ObserveList(currentFor(t, w) == 0)
		s.records.Add(now, parseRecord(t, w))
	case "lookup":
		return s.lookup(t, now, w)
	case "recent":
		for _, r := range s.records.Recent(now) {
			got = append(got, fmt.Sprintf("%s %s %d", streamName(r.Stream), originText(r.Origin), r.Age.Milliseconds()))
		}
	case "records":
		return []string{strconv.Itoa(s.records.Len())}
	case "list":
		servers := parseServers(t, w[2:])
		s.versions.Observe(now, servers)
		s.records.ObserveServers(now, servers, currentFor(t, w))
	default:
		return s.stepVersions(t, now, w)
	}
	return got
}

func (s *script) stepVersions(t *testing.T, now time.Time, w scripted.Words) (got []string) {
	switch w.At(1) {
	case "continue":
		s.versions.Continue(now, parseHistory(t, w))
	case "sole":
		version, ok := s.versions.Sole(now, ids.ServiceName(w.At(2)))
		if !ok {
			return []string{"none"}
		}
		return []string{string(version)}
	case "history":
		h := s.versions.History(now)
		got = []string{fmt.Sprintf("observed %d", h.ObservedFor.Milliseconds())}
		for _, v := range h.Versions {
			got = append(got, sightingText(v))
		}
	case "changes":
		return []string{strconv.FormatUint(s.versions.Changes(), 10)}
	case "store":
		s.stored, s.storedAt = s.versions.History(now), now
	case "outdated":
		return []string{strconv.FormatBool(s.versions.History(now).Outdates(s.stored))}
	case "restart": // of all hosts
		s.versions = NewVersions()
	case "load": // with a clock that may be behind the writer's
		s.versions.Continue(now, s.stored.After(now.Sub(s.storedAt)-milliseconds(t, w.Option("behind"))))
	case "first":
		s.versions.Continue(now, FirstHistory())
	default:
		t.Fatalf("event %q is unknown", w.At(1))
	}
	return got
}

func (s *script) lookup(t *testing.T, now time.Time, w scripted.Words) []string {
	o, age, ok := s.records.Lookup(now, streamID(w.At(2)), currentFor(t, w))
	if !ok {
		return []string{"unknown"}
	}
	return []string{fmt.Sprintf("%s %d", originText(o), age.Milliseconds())}
}

// parseRecord parses "TIME add STREAM SERVICE/VERSION", with the server, its incarnation and an age as options.
func parseRecord(t *testing.T, w scripted.Words) Record {
	service, version, _ := strings.Cut(w.At(3), "/")
	return Record{
		Stream: streamID(w.At(2)), Origin: Origin{Service: ids.ServiceName(service), Version: directory.SoftwareVersion(version)},
		Server: ids.BackendID(w.Option("server")), Incarnation: directory.Incarnation(milliseconds(t, w.Option("incarnation")).Milliseconds()),
		Age: milliseconds(t, w.Option("age")), Unconfirmed: slices.Contains(w, "unconfirmed"),
		Settled: slices.Contains(w, "settled"),
	}
}

// currentFor parses for how long the list of servers has been current, by default for long.
func currentFor(t *testing.T, w scripted.Words) time.Duration {
	if text := w.Option("current"); text != "" {
		return milliseconds(t, text)
	}
	return time.Hour
}

// parseServers parses words SERVER=SERVICE/VERSION, or SERVER=SERVICE/VERSION/INCARNATION.
func parseServers(t *testing.T, words []string) map[ids.BackendID]directory.Server {
	servers := make(map[ids.BackendID]directory.Server)
	for _, word := range words {
		id, text, _ := strings.Cut(word, "=")
		if id == "current" {
			continue // an option
		}
		parts := append(strings.Split(text, "/"), "", "")
		servers[ids.BackendID(id)] = directory.Server{
			ID: ids.BackendID(id), Service: ids.ServiceName(parts[0]), SoftwareVersion: directory.SoftwareVersion(parts[1]),
			Incarnation: directory.Incarnation(milliseconds(t, parts[2]).Milliseconds()),
		}
	}
	return servers
}

// parseHistory parses "TIME continue observed=MS", followed by words SERVICE/VERSION=listed or SERVICE/VERSION=AGE.
func parseHistory(t *testing.T, w scripted.Words) (h History) {
	h.ObservedFor = milliseconds(t, w.Option("observed"))
	for _, word := range w[2:] {
		name, value, _ := strings.Cut(word, "=")
		service, version, ok := strings.Cut(name, "/")
		if !ok {
			continue
		}
		s := Sighting{Service: ids.ServiceName(service), Version: directory.SoftwareVersion(version), Listed: value == "listed"}
		if !s.Listed {
			s.Age = milliseconds(t, value)
		}
		h.Versions = append(h.Versions, s)
	}
	return h
}

// milliseconds parses a number, 0 for an empty text.
func milliseconds(t *testing.T, text string) time.Duration {
	if text == "" {
		return 0
	}
	n, err := strconv.Atoi(text)
	qt.Assert(t, err, qt.IsNil)
	return time.Duration(n) * time.Millisecond
}

func streamID(name string) (id StreamID) {
	copy(id[:], name)
	return id
}

func streamName(id StreamID) string { return strings.TrimRight(string(id[:]), "\x00") }

func originText(o Origin) string { return fmt.Sprintf("%s/%s", o.Service, o.Version) }

func sightingText(s Sighting) string {
	if s.Listed {
		return originText(s.origin()) + " listed"
	}
	return fmt.Sprintf("%s left %d", originText(s.origin()), s.Age.Milliseconds())
}
