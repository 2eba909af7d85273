// Package measure runs fleets of processes and reads what they cost and reach.
package measure

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenalab/internal/fleet"
)

const model = "model"

// cost is what one daemon has spent so far.
type cost struct {
	controlSeconds float64
	cpuSeconds     float64
	peerBytes      float64
	peerCalls      float64
	writes         float64
	reads          float64
	resident       float64
}

// Scale starts a number of daemons, lets them rest for a while and prints what
// control costs each of them, and how fast a change of the rules is in force.
func Scale(ctx context.Context, programs string, daemons int, rest time.Duration) (err error) {
	dir, err := os.MkdirTemp("", "verbenaledge-scale-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }() // only logs are left behind
	f, err := fleet.Start(fleet.Config{
		Programs: programs, Dir: dir, Daemons: daemons, Engines: map[ids.ServiceName]int{model: 3},
		Zones: []ids.ZoneID{"z1", "z2", "z3", "z4", "z5", "z6"}, PlatformArgs: []string{"--writes", "100000", "--reads", "100000"},
	})
	if err != nil {
		return err
	}
	defer f.Close()
	rules := filepath.Join(dir, "scale.rules")
	if err := os.WriteFile(rules, []byte("service model kind=model # asked by ana\n"), 0o600); err != nil {
		return err
	}
	pause(ctx, settle)
	before, err := costs(f)
	if err != nil {
		return err
	}
	pause(ctx, rest)
	after, err := costs(f)
	if err != nil {
		return err
	}
	printCosts(daemons, rest, before, after)
	start := time.Now()
	if _, err := f.Operate(ctx, "rules", "apply", rules); err != nil {
		return err
	}
	fmt.Printf("rules in force on all, as an operator sees it: %s\n", time.Since(start).Round(time.Millisecond))
	return nil
}

// settle lets shards find their owners before anything is measured.
const settle = 12 * time.Second

func printCosts(daemons int, rest time.Duration, before, after []cost) {
	n, s := float64(daemons), rest.Seconds()
	var sum, most cost
	for i := range after {
		d := after[i].minus(before[i])
		sum = sum.plus(d)
		most.peerBytes = max(most.peerBytes, d.peerBytes)
		most.cpuSeconds = max(most.cpuSeconds, d.cpuSeconds)
		most.resident = max(most.resident, after[i].resident)
	}
	fmt.Printf("daemons %d, over %s at rest, for each daemon on average (most):\n", daemons, rest)
	fmt.Printf("  control goroutine  %.3f%% of a core\n", 100*sum.controlSeconds/s/n)
	fmt.Printf("  whole process      %.3f%% of a core (%.3f%%)\n", 100*sum.cpuSeconds/s/n, 100*most.cpuSeconds/s)
	fmt.Printf("  peer messages      %.0f B/s (%.0f), %.2f calls/s\n", sum.peerBytes/s/n, most.peerBytes/s, sum.peerCalls/s/n)
	fmt.Printf("  resident memory    %.1f MB at most\n", most.resident/1e6)
	fmt.Printf("platform, whole fleet: %.1f writes/s, %.1f reads/s\n", sum.writes/s, sum.reads/s)
}

func (c cost) minus(d cost) cost {
	return cost{
		c.controlSeconds - d.controlSeconds, c.cpuSeconds - d.cpuSeconds, c.peerBytes - d.peerBytes,
		c.peerCalls - d.peerCalls, c.writes - d.writes, c.reads - d.reads, c.resident,
	}
}

func (c cost) plus(d cost) cost {
	return cost{
		c.controlSeconds + d.controlSeconds, c.cpuSeconds + d.cpuSeconds, c.peerBytes + d.peerBytes,
		c.peerCalls + d.peerCalls, c.writes + d.writes, c.reads + d.reads, c.resident + d.resident,
	}
}

func costs(f *fleet.Fleet) (list []cost, err error) {
	for _, h := range f.Hosts {
		c, err := costOf(h)
		if err != nil {
			return nil, err
		}
		list = append(list, c)
	}
	return list, nil
}

// costOf reads a daemon's metrics.
func costOf(h *fleet.Host) (c cost, err error) {
	resp, err := http.Get("http://" + h.Admin + "/metrics")
	if err != nil {
		return cost{}, err
	}
	defer func() { _ = resp.Body.Close() }() // it has been read
	return parseCost(resp.Body)
}

func parseCost(r io.Reader) (c cost, err error) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		name, text, found := strings.Cut(lines.Text(), " ")
		value, err := strconv.ParseFloat(text, 64)
		if !found || err != nil {
			continue
		}
		switch {
		case name == "verbenad_control_seconds_total":
			c.controlSeconds = value
		case name == "process_cpu_seconds_total":
			c.cpuSeconds = value
		case name == "process_resident_memory_bytes":
			c.resident = value
		case name == "verbenad_control_peer_sent_bytes_total", name == "verbenad_control_peer_received_bytes_total":
			c.peerBytes += value
		case name == "verbenad_control_peer_calls_total":
			c.peerCalls = value
		case strings.HasPrefix(name, `verbenad_control_platform_calls_total{op="write"`),
			strings.HasPrefix(name, `verbenad_control_platform_calls_total{op="delete"`):
			c.writes += value
		case strings.HasPrefix(name, "verbenad_control_platform_calls_total"):
			c.reads += value
		}
	}
	return c, lines.Err()
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
