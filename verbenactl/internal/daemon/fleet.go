// Package daemon speaks to the admin pages of daemons.
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

// Fleet is a set of daemons.
type Fleet struct {
	addresses []string
	http      *resty.Client
}

// NewFleet returns the daemons at the addresses, asked with the token.
func NewFleet(addresses []string, token string) *Fleet {
	return &Fleet{addresses, resty.New().SetTimeout(callTimeout).SetAuthToken(token)}
}

// AdminAddresses returns the admin addresses of the entry hosts in a list.
func AdminAddresses(l platform.HostList) (list []string) {
	for _, s := range l.Servers {
		if s.Role == backend.RoleEntry && s.Admin != "" {
			list = append(list, s.Admin)
		}
	}
	return list
}

// Status is a daemon's view of itself, or the error of asking it.
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

// Status asks every daemon at the same time.
func (f *Fleet) Status(ctx context.Context) []Status {
	list := make([]Status, len(f.addresses))
	f.each(func(i int, address string) {
		list[i].Address = address
		if err := f.get(ctx, address, "/admin/status", nil, &list[i]); err != nil {
			list[i].Error = err.Error()
		}
	})
	return list
}

// Timeline asks every daemon for its events, and names those that gave none.
func (f *Fleet) Timeline(ctx context.Context, x timeline.Filter) (lists [][]timeline.Event, missing []string) {
	lists = make([][]timeline.Event, len(f.addresses))
	failed := make([]bool, len(f.addresses))
	query := map[string]string{
		"host": string(x.Host), "job": string(x.Job), "request": string(x.Request), "workspace": string(x.Workspace),
	}
	f.each(func(i int, address string) {
		failed[i] = f.get(ctx, address, "/admin/timeline", query, &lists[i]) != nil
	})
	for i, bad := range failed {
		if bad {
			missing = append(missing, f.addresses[i])
		}
	}
	return lists, missing
}

// Progress asks how many items of an open job are committed.
func (f *Fleet) Progress(ctx context.Context, j ids.JobID) (committed, failed int, known bool) {
	var mu sync.Mutex
	f.each(func(_ int, address string) {
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
		for _, x := range jobs {
			if x.ID == j {
				committed, failed, known = x.Committed, x.Failed, true
			}
		}
	})
	return committed, failed, known
}

func (f *Fleet) each(do func(i int, address string)) {
	var wg sync.WaitGroup
	for i, a := range f.addresses {
		wg.Go(func() { do(i, a) })
	}
	wg.Wait()
}

func (f *Fleet) get(ctx context.Context, address, path string, query map[string]string, into any) (err error) {
	resp, err := f.http.R().SetContext(ctx).SetQueryParams(query).SetResult(into).Get("http://" + address + path)
	if err != nil {
		return err
	}
	if resp.StatusCode() != http.StatusOK {
		return fmt.Errorf("%s says %s", address, resp.Status())
	}
	return nil
}
