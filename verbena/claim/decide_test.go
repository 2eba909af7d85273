package claim_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/claim"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/scripted"
)

var actions = map[claim.Action]string{
	claim.Conflict: "conflict", claim.Replay: "replay", claim.Wait: "wait", claim.StoreUnknown: "store_unknown", claim.AnswerUnknown: "answer_unknown",
}

func TestScripts(t *testing.T) {
	scripted.Run(t, func() scripted.Step {
		return func(t *testing.T, words scripted.Words) []string {
			switch words.At(0) {
			case "decide":
				r := claim.Record{BodyHash: words.Option("body"), State: claim.State(words.Option("state"))}
				return []string{actions[claim.Decide(r, words.Option("resend"), words.Option("holder") == "live")]}
			case "same":
				return []string{same(words.At(1), words.At(2))}
			}
			t.Fatalf("unknown event %v", words)
			return nil
		}
	})
}

// same answers whether two strings of the form workspace/service/key name the same claim.
func same(one, other string) string {
	if key(one).ObjectName() == key(other).ObjectName() {
		return "yes"
	}
	return "no"
}

func key(text string) (k claim.Key) {
	parts := []string{"", "", ""}
	n := 0
	for _, c := range text {
		if c == '/' && n < 2 {
			n++
			continue
		}
		parts[n] += string(c)
	}
	return claim.Key{Workspace: ids.WorkspaceID(parts[0]), Service: ids.ServiceName(parts[1]), IdempotencyKey: parts[2]}
}

// TestRecordRoundTrip checks that a stored record is read back unchanged and that a damaged one is an error.
func TestRecordRoundTrip(t *testing.T) {
	c := qt.New(t)
	r := claim.Record{BodyHash: claim.HashBody("POST", "/x", []byte("b")), Request: "r.1", State: claim.Done, Status: 201, Body: []byte{0, 255}}
	back, err := claim.Parse(r.Marshal())
	c.Assert(err, qt.IsNil)
	c.Assert(back, qt.DeepEquals, r)
	_, err = claim.Parse([]byte("{"))
	c.Assert(err, qt.IsNotNil)
	c.Assert(claim.HashBody("POST", "/x", []byte("b")), qt.Not(qt.Equals), claim.HashBody("POST", "/xb", nil))
}
