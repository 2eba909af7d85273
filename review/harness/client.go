package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// item is an item of a batch job as a client sends it.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// result is an entry of a batch job's results.
type result struct {
	ID, State, Output string
}

// page is the answer to a read of results.
type page struct {
	Total, Next int
	Results     []result
}

// do sends a request on a new connection. status is 0 if there was no complete answer.
func (f *fleet) do(at *host, method, path, key string, header map[string]string, body []byte, timeout time.Duration) (status int, answer []byte) {
	r, err := http.NewRequest(method, "http://"+at.callers()+path, bytes.NewReader(body))
	check(err)
	r.Host = hostName
	r.Header.Set("Authorization", "Bearer "+key)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	c := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	defer c.CloseIdleConnections()
	defer func() {
		f.logf("%s sent %s %s, request id %q, %d bytes, to %s: answered %d, %d bytes", key, method, path, header["X-Verbenaledge-Request-Id"], len(body), at.name, status, len(answer))
	}()
	response, err := c.Do(r)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, []byte(err.Error())
	}
	return response.StatusCode, answer
}

// newItems returns the items of a job.
func newItems(job string, n int) (list []item) {
	for i := range n {
		id := fmt.Sprintf("%s%02x", job[:min(len(job), 14)], i)
		list = append(list, item{
			ID: id, Path: "/batch/" + id, Body: []byte("draft " + id), Tokens: 300,
			Headers: map[string]string{
				"X-Verbenaledge-Model": "m", "X-Verbenaledge-Token-Usage": "250,50", "X-Verbenaledge-Prompt-Prefix": "aa01:100," + id + ":150",
			},
		})
	}
	return list
}

// submit sends a batch job.
func (f *fleet) submit(at *host, key, job string, items []item) (status int) {
	raw, err := json.Marshal(map[string]any{"items": items})
	check(err)
	status, _ = f.do(at, http.MethodPost, "/batch/"+job, key, map[string]string{
		"X-Verbenaledge-Request-Id": job, "X-Verbenaledge-Deadline-Ms": "4000", "Content-Type": "application/json",
	}, raw, 5500*time.Millisecond)
	return status
}

// read reads a job's results from a position on.
func (f *fleet) read(at *host, key, job string, after int) (status int, p page) {
	status, raw := f.do(at, http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", job, after), key, nil, nil, 2500*time.Millisecond)
	if status == http.StatusOK && json.Unmarshal(raw, &p) != nil {
		return 0, p
	}
	return status, p
}

// readSettled reads until the answer is neither missing nor 503, for at most the given time.
func (f *fleet) readSettled(key, job string, limit time.Duration) (status int, p page) {
	end := time.Now().Add(limit)
	for n := 0; ; n++ {
		status, p = f.read(f.fronts()[n%len(f.fronts())], key, job, 0)
		if status == http.StatusOK || status == http.StatusNotFound || status == http.StatusGone || time.Now().After(end) {
			return status, p
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// route returns a route of the configuration.
func route(name, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": "r-" + name, "host": hostName, "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": 5000, "sloMs": 300, "priority": 0,
		"service": service, "maxAttempts": 3, "public": false, "sticky": kind == "streaming" || kind == "batch",
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// configuration returns a configuration with a batch route, and one of streams, like those of the small deployments.
func configuration(version int, batchService string, tenants []map[string]any) map[string]any {
	engine := map[string]any{"slots": 8, "kvCapacity": 72000}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			route("batch", "batch", batchService, map[string]any{"timeoutMs": 15000, "sloMs": 500, "runTargetMs": 18000, "maxWaitS": 60, "cap": 610000, "priority": 2}),
			route("ask", "streaming", "llm", map[string]any{"canResume": true, "gapTargetMs": 300, "maxAttempts": 2}),
			route("app", "idempotent", "app", map[string]any{"timeoutMs": 3000}),
		},
		"services": []map[string]any{
			{"name": "llm", "healthPath": "/healthz", "maxConns": 300, "protocol": "h1", "tls": false, "engine": engine},
			{"name": "llm-b", "healthPath": "/healthz", "maxConns": 500, "protocol": "h1", "tls": false, "engine": engine},
			{"name": "app", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	}
}

func tenant(name, key string) map[string]any {
	return map[string]any{"name": name, "apiKeys": []string{key}, "priority": 1, "ratePerS": 45, "burstSize": 45}
}
