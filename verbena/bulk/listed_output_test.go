package bulk_test

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
)

// FuzzListedOutputIsAsStored guards against an output that reads otherwise after its shard is loaded from the store.
func FuzzListedOutputIsAsStored(f *testing.F) {
	for _, s := range []string{"", "ž", "\xff", "a\xc3", "\xed\xa0\x80b", "\xf0\x9f\x98", "\ufffd\xff", "<\u2028>"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, output []byte) {
		raw, err := json.Marshal(bulk.Result{Output: string(output)})
		qt.Assert(t, err, qt.IsNil)
		var stored bulk.Result
		qt.Assert(t, json.Unmarshal(raw, &stored), qt.IsNil)
		qt.Assert(t, bulk.ListedOutput(output), qt.Equals, stored.Output)
	})
}
