package objects

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestEncodedSize guards against objects beyond the store's limit: the size of each string is that of its encoding.
func TestEncodedSize(t *testing.T) {
	c := qt.New(t)
	check := func(s string) {
		raw, err := json.Marshal(s)
		c.Assert(err, qt.IsNil)
		c.Assert(EncodedSize(s), qt.Equals, len(raw), qt.Commentf("%q", s))
		c.Assert(EncodedSize([]byte(s)), qt.Equals, len(raw))
	}
	for b := range 256 {
		check(strings.Repeat(string([]byte{byte(b)}), 3))
	}
	for _, s := range []string{"", "<tr><td>1</td>", "\u2028\u2029\ufffd", "žluťoučký", "a\xc5", "\U0001f9c8"} {
		check(s)
	}
	rapid.Check(t, func(rt *rapid.T) {
		check(rapid.String().Draw(rt, "text"))
		check(string(rapid.SliceOf(rapid.Byte()).Draw(rt, "bytes")))
	})
}
