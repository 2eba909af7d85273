package fleet_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbenalab/internal/fleet"
	"verbenaledge.example/verbenalab/internal/load"
	"verbenaledge.example/verbenalab/internal/platform"
)

// keyWithdrawalLimit bounds the time until every host refuses a withdrawn key.
const keyWithdrawalLimit = 5 * time.Second

// TestKeyWithdrawal withdraws a key that has been used over open connections. Every host must refuse it within the
// limit, also one that is disconnected from the platform and its peers.
func TestKeyWithdrawal(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, withRelays)
	accepted := func(h *fleet.Host) bool { return f.chat(h, "museum", "still good?").Complete() }
	for _, h := range f.Hosts {
		f.Assert(accepted(h), qt.IsTrue)
	}
	isolated := f.Hosts[2]
	f.SetPeersBlocked(isolated, true)
	f.SetPlatformBlocked(isolated, true)
	_, err := f.Verbenactl(f.ctx, "key", "withdraw", "--no-wait", f.keyIDs["museum"])
	f.Assert(err, qt.IsNil)
	start := time.Now()
	for _, h := range f.Hosts {
		f.eventually(keyWithdrawalLimit-time.Since(start), "key refused at "+string(h.ID), func() bool { return !accepted(h) })
		t.Logf("%s refuses the key after %s", h.ID, time.Since(start).Round(time.Millisecond))
	}
	answer := f.chat(f.Hosts[0], "museum", "again")
	f.Assert(answer.Code, qt.Equals, "bad_key")
	// The isolated host refuses all workspaces until it is reconnected.
	f.Assert(f.chat(isolated, "archive", "cut").Code, qt.Equals, "isolated")
	f.SetPeersBlocked(isolated, false)
	f.SetPlatformBlocked(isolated, false)
	f.eventually(20*time.Second, "the host is back", func() bool { return f.chat(isolated, "archive", "back").Complete() })
	f.Assert(f.chat(isolated, "museum", "no").Code, qt.Equals, "bad_key")
}

// TestOtherHostsServeWhileOneIsIsolated sends a request of another workspace to a connected host as soon as an isolated
// host refuses requests. The first attempt must be answered.
func TestOtherHostsServeWhileOneIsIsolated(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, withRelays)
	isolated := f.Hosts[2]
	f.SetPeersBlocked(isolated, true)
	f.SetPlatformBlocked(isolated, true)
	f.eventually(keyWithdrawalLimit, "key refused", func() bool { return !f.chat(isolated, "museum", "still good?").Complete() })
	f.Assert(f.chat(f.Hosts[0], "archive", "fine").Code, qt.Equals, "")
}

// TestKeyWithdrawalDuringOutage withdraws a key while the platform is down. The command must fail and report that the
// key still works, and the key must still work.
func TestKeyWithdrawalDuringOutage(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	f.Assert(f.SetFaults(platform.Faults{Down: true}), qt.IsNil)
	_, err := f.Verbenactl(f.ctx, "key", "withdraw", f.keyIDs["museum"])
	var failed *fleet.ExitError
	f.Assert(err, qt.ErrorAs, &failed)
	f.Assert(failed.Code, qt.Equals, 5)
	f.Assert(failed.Output, qt.Contains, "STILL WORKS")
	f.Assert(f.chat(nil, "museum", "works").Complete(), qt.IsTrue)
}

// TestKeyNeverReachesBackends sends keys in bodies, queries and headers where they don't belong. Such requests must be
// refused, and no key may reach a stand-in, a log or a timeline.
func TestKeyNeverReachesBackends(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	key := f.keys["archive"]
	address := f.Hosts[0].CallerAddress
	send := func(method, path, body string, header map[string]string) int {
		req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
		f.Assert(err, qt.IsNil)
		req.Header.Set("Authorization", "Bearer "+key)
		for k, v := range header {
			req.Header.Set(k, v)
		}
		resp, err := http.DefaultClient.Do(req)
		f.Assert(err, qt.IsNil)
		f.Assert(resp.Body.Close(), qt.IsNil)
		return resp.StatusCode
	}
	body := `{"model":"model","max_tokens":4,"messages":[{"role":"user","content":"x"}]}`
	bodyWithKey := strings.Replace(body, `"x"`, `"my key is `+key+`"`, 1)
	f.Assert(send("POST", "/v1/chat/completions", body, nil), qt.Equals, 200)
	f.Assert(send("POST", "/services/ledger/entries", "sack 1", nil), qt.Equals, 200)
	f.Assert(send("POST", "/v1/chat/completions", bodyWithKey, nil), qt.Equals, 400)
	f.Assert(send("POST", "/v1/chat/completions?api_key="+key, body, nil), qt.Equals, 400)
	f.Assert(send("GET", "/services/ledger/entries?key="+key, "", nil), qt.Equals, 400)
	f.Assert(send("POST", "/services/ledger/entries", "sack 1", map[string]string{"Cookie": "key=" + key}), qt.Equals, 400)
	f.Assert(send("POST", "/services/ledger/entries", "sack 1", map[string]string{"X-Api-Key": key}), qt.Equals, 400)
	b := f.submitBatch("keys", 20, 4)
	f.awaitResults(b, "keys", 20)
	f.checkLedgers(nil)
	f.checkNoKeyInFiles()
}

// TestWorkspaceIsolation checks that a key gives access only to its own workspace's jobs, files and services.
func TestWorkspaceIsolation(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	b := f.submitBatch("apart", 5, 4)
	f.awaitResults(b, "apart", 5)
	get := func(path, key string) int {
		req, err := http.NewRequest(http.MethodGet, "http://"+f.Hosts[1].CallerAddress+path, nil)
		f.Assert(err, qt.IsNil)
		if key != "" {
			req.Header.Set("Authorization", "Bearer "+key)
		}
		resp, err := http.DefaultClient.Do(req)
		f.Assert(err, qt.IsNil)
		f.Assert(resp.Body.Close(), qt.IsNil)
		return resp.StatusCode
	}
	f.Assert(get("/v1/batches/"+b.ID, f.keys["archive"]), qt.Equals, 200)
	f.Assert(get("/v1/batches/"+b.ID, f.keys["museum"]), qt.Equals, 404)
	f.Assert(get("/v1/files/file-out-"+b.ID+"/content", f.keys["museum"]), qt.Equals, 404)
	f.Assert(get("/v1/batches/"+b.ID, ""), qt.Equals, 401)
	f.Assert(get("/services/ledger/x", f.keys["museum"]), qt.Equals, 403)
	f.Assert(get("/services/ledger/x", ""), qt.Equals, 401)
	f.Assert(f.caller.Chat(f.ctx, load.ChatRequest{Key: "vk-wrong", Model: model, Prompt: "x"}).Code, qt.Equals, "bad_key")
	// An open service needs no key and has one rate limit for all callers.
	open := 0
	for range 40 {
		if get("/services/notice/today", "") == 200 {
			open++
		}
	}
	f.Assert(open >= 10 && open < 20, qt.IsTrue, qt.Commentf("%d of 40 open requests were served", open))
}
