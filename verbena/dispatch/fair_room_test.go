package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/ids"
)

// overloadOfOne is a load of 120 in 100 slots: one workspace sends four fifths of it, four others a twentieth each.
func overloadOfOne(seed uint64, disabled Mechanism) modelConfig {
	cfg := modelConfig{
		seed: seed, disabled: disabled, servers: 5, slots: 4, duration: 20 * time.Second,
		perSecond: map[ids.WorkspaceID]float64{"heavy": 64}, rates: map[ids.WorkspaceID]Rate{"heavy": {PerSecond: 100, Burst: 400}},
	}
	for n := range 4 {
		w := ids.WorkspaceID(fmt.Sprintf("light%d", n))
		cfg.perSecond[w], cfg.rates[w] = 4, Rate{PerSecond: 100, Burst: 400}
	}
	return cfg
}

// sum adds up the results of all workspaces but one.
func sum(all map[ids.WorkspaceID]*modelResult, without ids.WorkspaceID) (total modelResult) {
	for w, r := range all {
		if w == without {
			continue
		}
		total.sent += r.sent
		total.inTime += r.inTime
		total.late += r.late
		total.refused += r.refused
		total.refusedEarly += r.refusedEarly
		total.refusedFirst += r.refusedFirst
		total.keptInVain += r.keptInVain
		total.gaveUp += r.gaveUp
		total.items += r.items
		total.slotTime += r.slotTime
	}
	return total
}

func logResults(t *testing.T, name string, all map[ids.WorkspaceID]*modelResult) {
	t.Helper()
	for _, w := range slices.Sorted(maps.Keys(all)) {
		r := all[w]
		t.Logf("%s %s: sent %d, in time %.3f, late %d, waited %d (%d ms), refused at first %d (%d kept in vain), gave up %d, items %d, slots %.2f; "+
			"refusals %d, %d early", name, w, r.sent, r.shareInTime(), r.late, r.waited, r.waitTime.Milliseconds()/int64(max(1, r.waited)), r.refusedFirst,
			r.keptInVain, r.gaveUp, r.items, r.slotTime.Seconds()/20, r.refused, r.refusedEarly)
	}
}

// TestFairRoom guards against a workspace that takes the room of others: with the mechanism the others' requests must start in
// time, and no slot time may be lost for it.
func TestFairRoom(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*modelConfig)
	}{
		{"dispatcher", func(*modelConfig) {}},
		{"change of the dispatcher", func(m *modelConfig) { m.replaceAt = 8 * time.Second }},
		{"four hosts that decide by themselves", func(m *modelConfig) { m.placers = 4 }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(5) {
				before, after := overloadOfOne(seed, FairRoom), overloadOfOne(seed, None)
				tt.change(&before)
				tt.change(&after)
				off, _ := runModel(before)
				on, faults := runModel(after)
				c.Check(faults, qt.HasLen, 0)
				if seed == 0 {
					logResults(t, "off", off)
					logResults(t, "on", on)
				}
				lightOff, lightOn := sum(off, "heavy"), sum(on, "heavy")
				allOff, allOn := sum(off, ""), sum(on, "")
				t.Logf("seed %d: light in time %.3f -> %.3f, heavy %.3f -> %.3f; light refused at first %d -> %d; slots %.2f -> %.2f", seed,
					lightOff.shareInTime(), lightOn.shareInTime(), off["heavy"].shareInTime(), on["heavy"].shareInTime(), lightOff.refusedFirst, lightOn.refusedFirst,
					allOff.slotTime.Seconds()/20, allOn.slotTime.Seconds()/20)
				c.Check(lightOn.shareInTime() > 0.97, qt.IsTrue)
				c.Check(lightOn.shareInTime() > lightOff.shareInTime(), qt.IsTrue)
				c.Check(float64(lightOn.refusedFirst) < 0.03*float64(lightOn.sent), qt.IsTrue)
				if after.placers <= 1 { // hosts that decide by themselves estimate waits as if all slots were theirs
					c.Check(float64(on["heavy"].keptInVain) < 0.05*float64(on["heavy"].sent), qt.IsTrue)
				}
				c.Check(float64(allOn.slotTime) > 0.97*float64(allOff.slotTime), qt.IsTrue)
				c.Check(float64(allOn.inTime) > 0.95*float64(allOff.inTime), qt.IsTrue)
			}
		})
	}
}

// TestFairRoomOfItems guards against a workspace with many batch items that keeps out those of others.
func TestFairRoomOfItems(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(3) {
		cfg := modelConfig{
			seed: seed, disabled: FairRoom, servers: 5, slots: 4, duration: 20 * time.Second, perSecond: map[ids.WorkspaceID]float64{"callers": 30},
			rates: map[ids.WorkspaceID]Rate{"heavy": {PerSecond: 10, Burst: 40}, "light": {PerSecond: 10, Burst: 40}},
			items: map[ids.WorkspaceID]int{"heavy": 200, "light": 4},
		}
		off, _ := runModel(cfg)
		cfg.disabled = None
		on, faults := runModel(cfg)
		c.Check(faults, qt.HasLen, 0)
		logResults(t, "off", off)
		logResults(t, "on", on)
		c.Check(on["light"].items > 3*off["light"].items, qt.IsTrue)
		c.Check(float64(sum(on, "").slotTime) > 0.97*float64(sum(off, "").slotTime), qt.IsTrue)
	}
}
