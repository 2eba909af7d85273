package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// jobsPerSecond is the rate of batch jobs on the sheet of lusk-centrala. A burst is 6 times as much for 3 s.
	jobsPerSecond = 0.514
	burstFactor   = 6
	burstTime     = 3 * time.Second
	// submitTime is how long jobs come, lastReads how long they are read afterwards: finishS, with some seconds more.
	submitTime = 76 * time.Second
	lastReads  = 22 * time.Second
	// largeItemBytes is the size of an item's body with which ten items make a submission of nearly maxBodyBytes.
	largeItemBytes = 310_000
)

// burstsAt is when the bursts begin.
var burstsAt = []time.Duration{20 * time.Second, 35 * time.Second, 50 * time.Second}

// largeJobs has a tenant submit batch jobs of the largest body that is allowed, at the rate of the sheet. With trouble, many come at once
// for some seconds. All jobs have to be readable at the end.
func largeJobs(record string, trouble bool) (breaks []string, err error) {
	w, err := newWorld(record, options{
		fronts: 3, storage: 3, servers: 9, frontMB: smallFrontMB, storageMB: 164, slots: 8, events: 231, eventBytes: 20,
		config: configuration(7, streamRoute(), plainRoute(1500), batchRoute()),
	})
	if w != nil {
		defer w.stop()
	}
	if err != nil {
		return nil, err
	}
	watch := w.watchMemory()
	accepted := w.submitLarge(trouble)
	unread := w.unreadable(accepted)
	kills, ends, _ := watch.end()
	w.note("%d jobs accepted, %d of them not readable at the end; %d processes killed, %d ended by themselves: %v", len(accepted), len(unread), kills, ends, watch.kills)
	if len(unread) > 0 {
		breaks = append(breaks, fmt.Sprintf("LOST: %d of %d accepted jobs can't be read for %s after the last submission; %d processes killed for their memory", len(unread), len(accepted), lastReads, kills))
	}
	return breaks, nil
}

// submitLarge submits jobs and returns those that were accepted.
func (w *world) submitLarge(trouble bool) (accepted []string) {
	begin, due := time.Now(), time.Duration(0)
	for n := 0; due < submitTime; n++ {
		time.Sleep(time.Until(begin.Add(due)))
		id := newID()
		body, err := submission(id, 10, largeItemBytes)
		if err != nil {
			w.note("job not encoded: %v", err)
			return accepted
		}
		if w.submit(w.fronts[n%len(w.fronts)], id, body).status == http.StatusAccepted {
			accepted = append(accepted, id)
		}
		rate := jobsPerSecond
		for _, at := range burstsAt {
			if trouble && due >= at && due < at+burstTime {
				rate = burstFactor * jobsPerSecond
			}
		}
		due += time.Duration(float64(time.Second) / rate)
	}
	return accepted
}

// unreadable reads the jobs until each was read once, or the time is over, and returns those that weren't.
func (w *world) unreadable(list []string) (left []string) {
	left = list
	for end, n := time.Now().Add(lastReads), 0; len(left) > 0 && time.Now().Before(end); n++ {
		a := w.read(w.fronts[n%len(w.fronts)], left[0], 0)
		if a.err == nil && a.status == http.StatusOK {
			left = left[1:]
			continue
		}
		w.note("job %s read: %d %v", left[0], a.status, a.err)
		time.Sleep(500 * time.Millisecond)
	}
	return left
}
