// Package demo runs online load and a batch on a small fleet for less than a minute, kills a daemon meanwhile, and counts
// the batch items that are lost or duplicated.
package demo

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenalab/internal/fleet"
	"verbenaledge.example/verbenalab/internal/load"
)

const (
	daemonCount  = 3
	itemCount    = 2000
	failEvery    = 400
	loadDuration = 25 * time.Second
	killDelay    = 9 * time.Second
	batchDelay   = 3 * time.Second
	batchTimeout = 50 * time.Second
	model        = "motif-model"
	plainService = "registry"
)

// ErrCheckFailed reports that batch items were lost or duplicated, that an unexpected number of them ended with an error,
// or that a backend server received an API key.
var ErrCheckFailed = errors.New("the demonstration's check failed")

var workspaces = []struct {
	name string
	rate float64
}{{"archive", 8}, {"museum-north", 4}, {"museum-south", 4}, {"buying-desk", 6}}

const rulesText = `# The demonstration's rules.
service motif-model kind=model            # asked by the archive
service registry kind=plain               # asked by the archive
allow archive motif-model rate=40/s burst=80 batch=2        # asked by ana
allow museum-north motif-model rate=20/s burst=40 batch=1   # asked by ioana
allow museum-south motif-model rate=20/s burst=40 batch=1   # asked by petr
allow buying-desk motif-model rate=30/s burst=60            # asked by marie
allow archive registry rate=20/s burst=40                   # asked by ana
`

// Demo is one run of the demonstration.
type Demo struct {
	fleet  *fleet.Fleet
	dir    string
	caller *load.Caller
	keys   map[string]string
	tally  *load.Tally
}

// Run runs the demonstration with the built programs in one folder and writes settings and logs to another.
func Run(ctx context.Context, programsDir, dir string) (err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	d := &Demo{dir: dir, keys: map[string]string{}, tally: load.NewTally()}
	logf("starting 1 platform, %d daemons in 3 availability zones, 3 engines and 1 plain service", daemonCount)
	d.fleet, err = fleet.Start(fleet.Config{
		ProgramsDir: programsDir, Dir: dir, Daemons: daemonCount,
		Zones:   []ids.ZoneID{"ardeal-1", "ardeal-2", "ardeal-3"},
		Engines: map[ids.ServiceName]int{model: 3}, Services: map[ids.ServiceName]int{plainService: 1},
	})
	if err != nil {
		return err
	}
	defer d.fleet.Close()
	if err := d.configure(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	balancer := load.NewBalancer(d.targets())
	go balancer.Run(ctx)
	d.caller = load.NewCaller(balancer)
	return d.runLoad(ctx)
}

func (d *Demo) targets() (list []load.Target) {
	for _, h := range d.fleet.Hosts {
		list = append(list, load.Target{CallerAddress: h.CallerAddress, AdminAddress: h.AdminAddress, Weight: 1})
	}
	return list
}

// configure applies the rules and issues an API key for each workspace.
func (d *Demo) configure(ctx context.Context) (err error) {
	file := filepath.Join(d.dir, "demo.rules")
	if err := os.WriteFile(file, []byte(rulesText), 0o644); err != nil {
		return err
	}
	if _, err := d.fleet.Verbenactl(ctx, "rules", "apply", file); err != nil {
		return err
	}
	for _, w := range workspaces {
		key, err := d.fleet.IssueKey(ctx, w.name)
		if err != nil {
			return err
		}
		d.keys[w.name] = key
	}
	logf("rules applied and %d keys issued", len(d.keys))
	return nil
}

// runLoad runs online load and a batch concurrently, kills a daemon after killDelay and reports the results.
func (d *Demo) runLoad(ctx context.Context) (err error) {
	logf("online load for %s; a batch of %d items after %s; host-01 killed after %s", loadDuration, itemCount, batchDelay, killDelay)
	var wg sync.WaitGroup
	for _, w := range workspaces {
		wg.Go(func() { d.sendChats(ctx, w.name, w.rate) })
	}
	time.AfterFunc(killDelay, func() {
		d.fleet.Hosts[1].Signal(syscall.SIGKILL)
		logf("host-01 killed")
	})
	result, err := d.runBatch(ctx)
	wg.Wait()
	if err != nil {
		return err
	}
	return d.report(result)
}

// sendChats sends chat requests of a workspace at a rate per second, with random intervals and without waiting for
// earlier answers.
func (d *Demo) sendChats(ctx context.Context, workspace string, rate float64) {
	var wg sync.WaitGroup
	defer wg.Wait()
	end := time.Now().Add(loadDuration)
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		request := load.ChatRequest{
			Workspace: workspace, Key: d.keys[workspace], Model: model, MaxTokens: 24,
			Prompt: fmt.Sprintf("You name motifs on butter moulds for %s. Question %d: which village carved this sheaf?", workspace, n),
		}
		wg.Go(func() { d.tally.Add(d.caller.Chat(ctx, request)) })
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
	}
}
