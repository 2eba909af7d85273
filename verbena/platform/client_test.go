package platform_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/platform"
	"verbenaledge.example/verbena/platform/memory"
)

// lossy serves a store and loses the answers of writes that have taken effect.
type lossy struct {
	store *memory.Store
	lose  int
	calls int
}

func (l *lossy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.calls++
	name := strings.TrimPrefix(r.URL.Path, "/v1/objects/")
	var (
		body any
		err  error
	)
	switch r.Method {
	case http.MethodGet:
		body, err = l.store.Get(r.Context(), name)
	case http.MethodPut:
		value, _ := io.ReadAll(r.Body)
		var v ids.Version
		v, err = l.store.Put(name, number(r), value)
		body = map[string]ids.Version{"version": v}
	case http.MethodDelete:
		err = l.store.Delete(r.Context(), name, number(r))
		body = struct{}{}
	}
	if r.Method != http.MethodGet && l.lose > 0 {
		l.lose--
		panic(http.ErrAbortHandler)
	}
	status := map[error]int{platform.ErrNotFound: 404, platform.ErrConflict: 409}[err]
	if err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	_ = json.NewEncoder(w).Encode(body)
}

func number(r *http.Request) ids.Version {
	var n ids.Version
	_ = json.Unmarshal([]byte(r.URL.Query().Get("if_version")), &n)
	return n
}

// TestLostAnswers settles writes whose answers were lost by their marks: this writer's
// own count as done, another's as a conflict.
func TestLostAnswers(t *testing.T) {
	c := qt.New(t)
	l := &lossy{store: memory.New()}
	server := httptest.NewServer(l)
	defer server.Close()
	client := platform.NewClient(server.Listener.Addr().String(), platform.WithTimeout(time.Second))
	ctx := context.Background()
	for lose := range 4 {
		name := "object/" + strings.Repeat("x", lose+1)
		l.lose = lose
		v, err := client.Create(ctx, name, []byte("one"))
		c.Assert(err, qt.IsNil)
		l.lose = lose
		v2, err := client.Update(ctx, name, v, []byte("two"))
		c.Assert(err, qt.IsNil)
		o, err := client.Get(ctx, name)
		c.Assert(err, qt.IsNil)
		c.Assert(string(o.Value), qt.Equals, "two")
		c.Assert(o.Version, qt.Equals, v2)
		_, err = client.Update(ctx, name, v, []byte("late"))
		c.Assert(err, qt.ErrorIs, platform.ErrConflict)
		l.lose = 1
		_, err = client.Update(ctx, name, v, []byte("late, and the answer lost"))
		c.Assert(err, qt.ErrorIs, platform.ErrConflict)
		l.lose = min(lose, 2)
		c.Assert(client.Delete(ctx, name, v2), qt.IsNil)
		_, err = client.Get(ctx, name)
		c.Assert(err, qt.ErrorIs, platform.ErrNotFound)
		c.Assert(client.Delete(ctx, name, v2), qt.ErrorIs, platform.ErrNotFound)
	}
}
