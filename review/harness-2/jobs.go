package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// submission returns a batch job's body with items of the given body size.
func submission(id string, items, bodyBytes int) (raw []byte, err error) {
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    string            `json:"body"`
		Tokens  int               `json:"tokens"`
	}
	var job struct {
		Items []item `json:"items"`
	}
	for n := range items {
		job.Items = append(job.Items, item{
			ID: fmt.Sprintf("%s%02x", id[:14], n), Path: fmt.Sprintf("%s%d/%s", batchPrefix, n, id[:4]), Tokens: 940,
			Headers: map[string]string{
				"X-Verbenaledge-Model": "m", "X-Verbenaledge-Token-Usage": "540,400",
				"X-Verbenaledge-Prompt-Prefix": fmt.Sprintf("9c2e41:300,%s%02x:240", id[:6], n),
			},
			Body: base64.StdEncoding.EncodeToString(make([]byte, bodyBytes)),
		})
	}
	return json.Marshal(job)
}

func (w *world) submit(f *host, id string, body []byte) answer {
	a := call{front: f, method: http.MethodPost, path: batchPrefix + id[:6], host: hostName, key: tenantKey, id: id, deadline: 4 * time.Second, body: body}.do()
	w.note("job %s submitted at %s: %d %v", id, f.settings.name, a.status, a.err)
	return a
}

func (w *world) read(f *host, id string, after int) answer {
	return call{
		front: f, method: http.MethodGet, path: fmt.Sprintf("/lots/%s?after=%d", id, after), host: hostName, key: tenantKey,
		wait: time.Second, deadline: 1500 * time.Millisecond,
	}.do()
}

// readAll reads a job's results until all are listed.
func (w *world) readAll(f *host, id string, timeout time.Duration) (total int, results []string, err error) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		a := w.read(f, id, len(results))
		if a.err != nil || a.status != http.StatusOK {
			w.note("job %s read at %s: %d %v", id, f.settings.name, a.status, a.err)
			continue
		}
		l, err := parseListing(a.body)
		if err != nil {
			return 0, nil, err
		}
		total = l.Total
		for _, r := range l.Results {
			results = append(results, r.ID+" "+r.State)
		}
		if total > 0 && len(results) == total {
			w.note("job %s read at %s: all %d results", id, f.settings.name, total)
			return total, results, nil
		}
	}
	return total, results, fmt.Errorf("job %s: %d of %d results after %s", id, len(results), total, timeout)
}
