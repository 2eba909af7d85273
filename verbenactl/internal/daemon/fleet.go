// Package daemon is a client of the daemons' admin API.
package daemon

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-resty/resty/v2"

	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/gossip"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/platform"
	"verbenaledge.example/verbena/timeline"
)

const callTimeout = 2 * time.Second

// Fleet calls a set of daemons.
type Fleet struct {
	addresses []string
	http      *resty.Client
}

// NewFleet returns a client of the daemons at the addresses. Its calls carry the token.
func NewFleet(addresses []string, token string) *Fleet {
	return &Fleet{addresses, resty.New().SetTimeout(callTimeout).SetAuthToken(token)}
}

// AdminAddresses returns the admin addresses of the entry hosts in a host list.
func AdminAddresses(l platform.HostList) (list []string) {
	for _, s := range l.Servers {
		if s.Role == backend.RoleEntry && s.Admin != "" {
			list = append(list, s.Admin)
		}
	}
	return list
}

// Status is a daemon's report of its own state, or the error of the call.
type Status struct {
	Address  string        `json:"address"`
	Error    string        `json:"error,omitempty"`
	Host     ids.HostID    `json:"host"`
	Ready    bool          `json:"ready"`
	Isolated bool          `json:"isolated"`
	Draining bool          `json:"draining"`
	Versions gossip.Digest `json:"versions"`
	Shards   []ids.ShardID `json:"shards"`
	Peers    int           `json:"peers"`
	Running  int           `json:"running"`
}

// Status calls all daemons at the same time and returns one entry for each.
func (f *Fleet) Status(ctx context.Context) []Status {
	list := make([]Status, len(f.addresses))
	f.forEach(func(i int, address string) {
		list[i].Address = address
		if err := f.get(ctx, address, "/admin/status", nil, &list[i]); err != nil {
			list[i].Error = err.Error()
		}
	})
	return list
}

// Timeline returns the events of every daemon, and the addresses of the daemons whose call failed.
func (f *Fleet) Timeline(ctx context.Context, filter timeline.Filter) (lists [][]timeline.Event, unanswered []string) {
	lists = make([][]timeline.Event, len(f.addresses))
	failed := make([]bool, len(f.addresses))
	query := map[string]string{
		"host": string(filter.Host), "job": string(filter.Job), "request": string(filter.Request), "workspace": string(filter.Workspace),
	}
	f.forEach(func(i int, address string) {
		failed[i] = f.get(ctx, address, "/admin/timeline", query, &lists[i]) != nil
	})
	for i, b := range failed {
		if b {
			unanswered = append(unanswered, f.addresses[i])
		}
	}
	return lists, unanswered
}

// Progress returns how many items of an open job are committed and how many of these failed. known is false if no
// daemon has the job open.
func (f *Fleet) Progress(ctx context.Context, id ids.JobID) (committed, failed int, known bool) {
	var mu sync.Mutex
	f.forEach(func(_ int, address string) {
		var jobs []struct {
			ID        ids.JobID `json:"id"`
			Committed int       `json:"committed"`
			Failed    int       `json:"failed"`
		}
		if f.get(ctx, address, "/admin/jobs", nil, &jobs) != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		for _, j := range jobs {
			if j.ID == id {
				committed, failed, known = j.Committed, j.Failed, true
			}
		}
	})
	return committed, failed, known
}

func (f *Fleet) forEach(do func(i int, address string)) {
	var wg sync.WaitGroup
	for i, a := range f.addresses {
		wg.Go(func() { do(i, a) })
	}
	wg.Wait()
}

func (f *Fleet) get(ctx context.Context, address, path string, query map[string]string, result any) (err error) {
	resp, err := f.http.R().SetContext(ctx).SetQueryParams(query).SetResult(result).Get("http://" + address + path)
	if err != nil {
		return err
	}
	if resp.StatusCode() != http.StatusOK {
		return fmt.Errorf("%s answered %s", address, resp.Status())
	}
	return nil
}
