package poison_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/poison"
	"verbenaledge.example/verbena/scripted"
)

var verdicts = map[poison.Verdict]string{poison.Clean: "clean", poison.Suspect: "suspect", poison.Poisonous: "poisonous"}

func TestScripts(t *testing.T) {
	scripted.Run(t, func() scripted.Step {
		r := poison.NewRegistry()
		return func(t *testing.T, words scripted.Words) []string {
			now, f := words.Time(), poison.Fingerprint(words.At(2))
			switch words.At(1) {
			case "crash":
				r.RecordCrash(now, f, ids.BackendID(words.At(3)))
			case "merge":
				rec := poison.Record{Fingerprint: f}
				for _, b := range words[3:] {
					rec.Backends = append(rec.Backends, ids.BackendID(b))
				}
				r.Merge(now, rec)
			case "clear":
				return []string{fmt.Sprint(r.Clear(f))}
			case "classify":
				return []string{verdicts[r.Classify(now, f)]}
			default:
				t.Fatalf("unknown event %v", words)
			}
			return nil
		}
	})
}

// TestRegistryIsBounded: when the registry is full, the record with the oldest crash is evicted.
func TestRegistryIsBounded(t *testing.T) {
	c := qt.New(t)
	r, now := poison.NewRegistry(), time.Unix(1000, 0)
	for n := range 5000 {
		now = now.Add(time.Millisecond)
		r.RecordCrash(now, poison.Fingerprint(fmt.Sprint(n)), "b")
	}
	c.Assert(r.Len() <= 4096, qt.IsTrue)
	c.Assert(r.Classify(now, "4999"), qt.Equals, poison.Suspect)
	c.Assert(r.Classify(now, "0"), qt.Equals, poison.Clean)
}

// TestFingerprint: equal requests have equal fingerprints; another workspace, path or body gives another one.
func TestFingerprint(t *testing.T) {
	c := qt.New(t)
	f := poison.FingerprintOf("w", "/x", []byte("body"))
	c.Assert(poison.FingerprintOf("w", "/x", []byte("body")), qt.Equals, f)
	for _, o := range []poison.Fingerprint{
		poison.FingerprintOf("v", "/x", []byte("body")), poison.FingerprintOf("w", "/y", []byte("body")), poison.FingerprintOf("w", "/xbody", nil),
	} {
		c.Assert(o, qt.Not(qt.Equals), f)
	}
	c.Assert(strings.Contains(string(f), "body"), qt.IsFalse)
}
