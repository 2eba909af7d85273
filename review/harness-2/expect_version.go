package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"verbenaledge.example/platform/standin"
)

const (
	// otherWeights is a version of the weights that no server holds.
	otherWeights = "2"
	// clientTries is how often a client sends a request: once, and once more after a refusal.
	clientTries = 2
	// streamEvents is the number of events of a stream.
	streamEvents = 34
	// finishTime is finishS, with some seconds more.
	finishTime = 30 * time.Second
	// calmTime is how long the servers must have been idle for an item to be lost.
	calmTime = 5 * time.Second
)

// quietStream sends a request for a stream without a record, and reports whether it was served.
func (w *world) quietStream(f *host) bool {
	status, _, _ := requestStream(f, newID(), "")
	return status == http.StatusOK
}

// stream sends a request for a stream with a version of the weights, if any, and returns the status.
func (w *world) stream(f *host, version string) (status int) {
	id := newID()
	status, bytes, err := requestStream(f, id, version)
	w.note("stream %s at %s, weights %q: %d, %d bytes %v", id, f.settings.name, version, status, bytes, err)
	return status
}

func requestStream(f *host, id, version string) (status, bytes int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d%s%s", f.settings.ip, f.settings.callerPort, streamPrefix, id[:4])
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, http.NoBody)
	if err != nil {
		return 0, 0, err
	}
	r.Host, r.Close = hostName, true
	for k, v := range map[string]string{
		standin.HeaderRequestID: id, "Authorization": "Bearer " + tenantKey, "X-Verbenaledge-Deadline-Ms": "5000", "X-Verbenaledge-Model": "m",
		"X-Verbenaledge-Token-Usage": "450,34", standin.HeaderPromptParts: "9c2e41:200," + id[:8] + ":250", "X-Verbenaledge-Expect-Version": version,
	} {
		if v != "" {
			r.Header.Set(k, v)
		}
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, len(body), err
}

// expectVersion has one client send one request that names a version of the weights. With trouble, no server holds that version: all
// servers refuse the request with 421, as it says. Other clients go on with requests that name none, and submit a batch job.
func expectVersion(record string, trouble bool) (breaks []string, err error) {
	w, err := newWorld(record, options{
		fronts: 3, storage: 3, servers: 9, frontMB: 284, storageMB: 324, slots: 8, events: streamEvents, eventBytes: 20,
		config: configuration(7, streamRoute(), plainRoute(1500), batchRoute()),
	})
	if w != nil {
		defer w.stop()
	}
	if err != nil {
		return nil, err
	}
	for n := range 9 {
		if status := w.stream(w.fronts[n%3], ""); status != http.StatusOK {
			return nil, fmt.Errorf("a stream isn't served before the disruption: %d", status)
		}
	}
	version := weightsVersion
	if trouble {
		version = otherWeights
	}
	for n := range clientTries {
		if w.stream(w.fronts[n], version) == http.StatusOK {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	id := newID()
	body, err := submission(id, 10, 300)
	if err != nil {
		return nil, err
	}
	if a := w.submit(w.fronts[2], id, body); a.status != http.StatusAccepted {
		return nil, fmt.Errorf("job not accepted: %d %v", a.status, a.err)
	}
	served, sent := 0, 0
	for end := time.Now().Add(finishTime); time.Now().Before(end); time.Sleep(time.Second) {
		sent++
		if w.stream(w.fronts[sent%3], "") == http.StatusOK {
			served++
		}
	}
	a := w.read(w.fronts[0], id, 0)
	l, _ := parseListing(a.body)
	count, idle := w.running.since()
	w.note("job %s: %d, %d of %d results; servers have run %d requests, the last one %s ago", id, a.status, len(l.Results), l.Total, count, idle.Round(time.Second))
	w.note("%d of %d streams served", served, sent)
	if a.status == http.StatusOK && len(l.Results) < l.Total && idle > calmTime {
		breaks = append(breaks, fmt.Sprintf(
			"LOST: %d of %d items of an accepted job are not listed %s after its 202, all servers are idle; %d of %d streams served",
			l.Total-len(l.Results), l.Total, finishTime, served, sent,
		))
	}
	return breaks, nil
}
