package keys_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/keys"
	"verbenaledge.example/verbena/scripted"
)

// issuedKeys maps the names of keys in a script to the keys.
type issuedKeys map[string]struct {
	key string
	id  ids.KeyID
}

func TestScripts(t *testing.T) {
	scripted.Run(t, func() scripted.Step {
		table, known := keys.Empty(), issuedKeys{}
		return func(t *testing.T, words scripted.Words) []string {
			name := words.At(1)
			switch words.At(0) {
			case "issue":
				key, r := keys.Issue(ids.WorkspaceID(words.At(2)), time.Unix(1000, 0))
				table = table.With(r)
				entry := known[name]
				entry.key, entry.id = key, r.ID
				known[name] = entry
			case "withdraw":
				next, found := table.Without(known[name].id)
				table = next
				if !found {
					return []string{"none"}
				}
			case "store":
				back, err := keys.Parse(table.Marshal())
				qt.Assert(t, err, qt.IsNil)
				table = back
			case "use":
				r, ok := table.Lookup(known[name].key)
				if !ok {
					return []string{"refused"}
				}
				return []string{string(r.Workspace)}
			default:
				t.Fatalf("%v is unknown", words)
			}
			return nil
		}
	})
}

// TestStoredTable checks that the encoded table doesn't contain the key, that keys are unique, and that Parse accepts
// empty data and rejects invalid data.
func TestStoredTable(t *testing.T) {
	c := qt.New(t)
	key, r := keys.Issue("w", time.Unix(1000, 0))
	table := keys.Empty().With(r)
	c.Assert(bytes.Contains(table.Marshal(), []byte(key)), qt.IsFalse)
	c.Assert(strings.HasPrefix(key, "vk-"), qt.IsTrue)
	again, _ := keys.Issue("w", time.Unix(1000, 0))
	c.Assert(again, qt.Not(qt.Equals), key)
	_, err := keys.Parse([]byte("[{"))
	c.Assert(err, qt.IsNotNil)
	empty, err := keys.Parse(nil)
	c.Assert(err, qt.IsNil)
	c.Assert(empty.Records(), qt.HasLen, 0)
}
