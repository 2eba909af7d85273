package reachability

import (
	"fmt"
	"strings"
	"testing"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/scripted"
)

// TestScripts replays the scripts of testdata. A line is an event with its time in milliseconds.
func TestScripts(t *testing.T) {
	scripted.Run(t, func() scripted.Step {
		tracker := NewTracker()
		return func(t *testing.T, words scripted.Words) []string { return step(t, tracker, words) }
	})
}

func step(t *testing.T, tracker *Tracker, words scripted.Words) []string {
	now, id := words.Time(), ids.BackendID(words.At(2))
	before := tracker.CutOff()
	switch name := words.At(1); name {
	case "servers": // how many there are
		tracker.SetServers(words.Number(2), func(id ids.BackendID) bool { return !strings.HasPrefix(string(id), "gone") })
	case "connected":
		tracker.Connected(now, id)
	case "received":
		tracker.Received(now, id)
	case "relay_only": // the direct connection failed in the way of the last word
		failure := Silent
		if words.At(3) == Rejected.String() {
			failure = Rejected
		}
		tracker.ReachedByRelay(now, id, failure)
	case "unreachable":
		tracker.Unreachable(now, id)
	case "plan":
		return []string{describe(tracker.Plan(now, id))}
	case "waiting": // a request since since=MS
		sentAt := scripted.Words{words.Option("since")}.Time()
		return []string{fmt.Sprintf("check %t", tracker.CheckDue(now, sentAt, id))}
	case "reused": // a connection over another host
		return []string{fmt.Sprintf("recheck %t", tracker.RecheckDue(now, id))}
	case "open_connections":
		return []string{fmt.Sprintf("kept %t", tracker.KeepsOpenConnections(now, id))}
	case "reaches_others":
		return []string{fmt.Sprint(tracker.ReachesOthers(now, id))}
	default:
		t.Fatalf("event %q is unknown", name)
	}
	if tracker.CutOff() != before {
		return []string{fmt.Sprintf("cut off %t", tracker.CutOff())}
	}
	return nil
}

func describe(p Plan) string {
	var parts []string
	if p.Direct {
		parts = append(parts, "direct")
	}
	switch {
	case p.Relay && p.RelayDelay > 0:
		parts = append(parts, fmt.Sprintf("relay after %d ms", p.RelayDelay.Milliseconds()))
	case p.Relay:
		parts = append(parts, "relay")
	}
	if parts == nil {
		return "nothing"
	}
	return strings.Join(parts, ", ")
}
