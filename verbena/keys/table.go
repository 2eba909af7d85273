// Package keys issues API keys and looks up the workspace of a key.
package keys

import (
	"cmp"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"verbenaledge.example/verbena/ids"
)

const (
	prefix      = "vk-"
	secretBytes = 24
	idBytes     = 6
)

// Table maps the hashes of keys to their records. It is immutable: changes return a copy.
type Table struct {
	byHash map[string]Record
}

// Empty returns a table without keys.
func Empty() *Table {
	return &Table{byHash: map[string]Record{}}
}

// Lookup returns the record of a key that has been issued and not withdrawn.
func (t *Table) Lookup(key string) (r Record, ok bool) {
	r, ok = t.byHash[hash(key)]
	return r, ok
}

// Records returns every record, ordered by workspace and id.
func (t *Table) Records() []Record {
	list := make([]Record, 0, len(t.byHash))
	for _, r := range t.byHash {
		list = append(list, r)
	}
	slices.SortFunc(list, func(x, y Record) int {
		if x.Workspace != y.Workspace {
			return cmp.Compare(x.Workspace, y.Workspace)
		}
		return cmp.Compare(x.ID, y.ID)
	})
	return list
}

// With returns a copy of the table with r added.
func (t *Table) With(r Record) *Table {
	c := Empty()
	for h, o := range t.byHash {
		c.byHash[h] = o
	}
	c.byHash[r.Hash] = r
	return c
}

// Without returns a copy of the table without the key that has the given id, and whether the table had it.
func (t *Table) Without(id ids.KeyID) (c *Table, found bool) {
	c = Empty()
	for h, r := range t.byHash {
		if r.ID == id {
			found = true
			continue
		}
		c.byHash[h] = r
	}
	return c, found
}

// Marshal encodes the table for storage.
func (t *Table) Marshal() []byte {
	data, err := json.Marshal(t.Records())
	if err != nil {
		panic(err) // unreachable: records hold only strings and times
	}
	return data
}

// Parse decodes a stored table. Empty data gives an empty table.
func Parse(data []byte) (t *Table, err error) {
	t = Empty()
	if len(data) == 0 {
		return t, nil
	}
	var list []Record
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, fmt.Errorf("parse keys: %w", err)
	}
	for _, r := range list {
		t.byHash[r.Hash] = r
	}
	return t, nil
}

// Issue creates a key for a workspace. The record doesn't contain the key, which can be shown only once.
func Issue(w ids.WorkspaceID, now time.Time) (key string, r Record) {
	secret := make([]byte, secretBytes)
	id := make([]byte, idBytes)
	_, _ = rand.Read(secret) // never fails
	_, _ = rand.Read(id)
	key = prefix + base64.RawURLEncoding.EncodeToString(secret)
	r = Record{
		ID:        ids.KeyID("key-" + hex.EncodeToString(id)),
		Workspace: w,
		Hash:      hash(key),
		Issued:    now.UTC().Truncate(time.Second),
	}
	return key, r
}

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
