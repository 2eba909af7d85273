package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"verbenaledge.example/platform/standin"
)

// MeasureLateStreams runs the programs while entry hosts are stopped in order several times, and callers ask them for streams until
// their processes are about to end.
func MeasureLateStreams(ctx context.Context, o Options, p LateStreamsPlan) (r LateStreamsReport, err error) {
	o.Rate, o.objective = lateStreamsRate, keptConnectionsObjective
	e, err := NewEnvironment(o)
	if err != nil {
		return r, err
	}
	defer func() { _ = e.Close() }() // what fails to stop ends with this process
	for n, s := range e.servers {
		s.server.Slots = lateStreamsSlots
		s.server.SetPause(p.Duration / streamEvents)
		e.registerServer(n, "ready")
	}
	t := &lateStreamsTrial{env: e, plan: p, random: rand.New(rand.NewPCG(o.Seed, 0))}
	callers := &Callers{env: e}
	for n := range p.Stops {
		if !e.eventually(ctx, startTimeout, "start", "every host serves", callers.allServing) {
			return r, fmt.Errorf("hosts don't serve within %s before stop %d", startTimeout, n)
		}
		if err := t.stopHosts(n); err != nil {
			return r, err
		}
	}
	return t.report, ctx.Err()
}

// lateStreamsTrial stops hosts while callers use their connections.
type lateStreamsTrial struct {
	env  *Environment
	plan LateStreamsPlan

	mu     sync.Mutex
	random *rand.Rand
	report LateStreamsReport
	errs   []error
	lastID int
}

func (t *lateStreamsTrial) pick(w TimeWindow) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return w.pick(t.random)
}

func (t *lateStreamsTrial) newID() (id string, chunked bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastID++
	return fmt.Sprintf("late-%d", t.lastID), t.lastID%2 == 0
}

func (t *lateStreamsTrial) addError(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.errs = append(t.errs, err)
}

// stopHosts stops hosts, asks them for streams meanwhile, and starts them again.
func (t *lateStreamsTrial) stopHosts(stop int) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("stop %d: %w", stop, err)
		}
	}()
	// Hosts take turns, so that each is stopped some time after its start.
	hosts := make([]*host, 0, t.plan.Hosts)
	for n := range t.plan.Hosts {
		hosts = append(hosts, t.env.hosts[(stop+n)%entryHosts])
	}
	other := t.env.hosts[(stop+t.plan.Hosts)%entryHosts]
	begin := time.Now().Add(max(openedBeforeWindow.To, t.plan.Duration) + 2*settleTime)
	var callers sync.WaitGroup
	for _, h := range hosts {
		for k := range connectionKinds {
			for range t.plan.Callers {
				callers.Go(func() { (&lateCaller{trial: t, host: h, other: other, kind: k, begin: begin}).run() })
			}
		}
	}
	time.Sleep(time.Until(begin))
	for _, h := range hosts {
		h.stop()
	}
	callers.Wait()
	for _, h := range hosts {
		h.ensureRunning() // once it has stopped
	}
	return errors.Join(t.errs...)
}

// lateCaller is a caller of a host that stops at a time.
type lateCaller struct {
	trial       *lateStreamsTrial
	host, other *host
	kind        connectionKind
	begin       time.Time
}

func (l *lateCaller) sleepUntil(sinceBegin time.Duration) {
	time.Sleep(time.Until(l.begin.Add(sinceBegin)))
}

func (l *lateCaller) run() {
	t := l.trial
	switch l.kind {
	case openedBefore:
		l.sleepUntil(-t.pick(openedBeforeWindow))
		l.useOnce(t.pick(sendWindow))
	case openedDuring:
		opened := t.pick(openedDuringWindow)
		l.sleepUntil(opened)
		l.useOnce(opened + t.pick(firstUseWindow))
	case usedBefore:
		k := l.open()
		if k == nil {
			return
		}
		defer k.close()
		id, chunked := t.newID()
		if c, err := k.stream(id, chunked); err != nil || c.Status != http.StatusOK {
			t.addError(fmt.Errorf("status %d of %s before the stop: %w", c.Status, id, err))
			return
		}
		l.sleepUntil(t.pick(sendWindow))
		l.ask(k)
	default:
		l.useSteadily()
	}
}

// open opens a connection. The host must accept it.
func (l *lateCaller) open() *keptConnection {
	k, err := openConnection(l.host)
	if err != nil {
		l.trial.addError(err)
		return nil
	}
	return k
}

// useOnce opens a connection and uses it at a time from the begin of the stop.
func (l *lateCaller) useOnce(used time.Duration) {
	k := l.open()
	if k == nil {
		return
	}
	defer k.close()
	l.sleepUntil(used)
	l.ask(k)
}

// useSteadily asks for one stream after the other, on a new connection where the response announced the end of the last one, until
// the host accepts none.
func (l *lateCaller) useSteadily() {
	l.sleepUntil(-l.trial.pick(TimeWindow{To: l.trial.plan.Duration}) - settleTime)
	for {
		k, err := openConnection(l.host)
		if err != nil {
			return
		}
		for open := true; open && time.Since(l.begin) < sendWindow.To; {
			open = l.ask(k) && !k.closes
		}
		k.close()
		if time.Since(l.begin) >= sendWindow.To {
			return
		}
	}
}

// ask asks for a stream, and once more at the other host if it has not run.
func (l *lateCaller) ask(k *keptConnection) (answered bool) {
	id, chunked := l.trial.newID()
	c, _ := k.stream(id, chunked) // an error shows as an incomplete answer
	ran := l.trial.env.ran(id)
	l.trial.mu.Lock()
	mayRetry := l.trial.report.add(l.kind, c, c.Sent.Sub(l.begin), c.Ended.Sub(l.begin), wholeStream(id), ran)
	l.trial.mu.Unlock()
	if mayRetry && l.trial.plan.Hosts < entryHosts && l.retry() {
		l.trial.mu.Lock()
		defer l.trial.mu.Unlock()
		row := &l.trial.report.Rows[l.kind]
		if c.Sent.Sub(l.begin) > lateAfter {
			row.Late.ServedByRetry++
		} else {
			row.Early.ServedByRetry++
		}
	}
	return c.Complete
}

// retry asks the other host for a stream, and reports whether it was whole.
func (l *lateCaller) retry() (whole bool) {
	k, err := openConnection(l.other)
	if err != nil {
		return false
	}
	defer k.close()
	id, chunked := l.trial.newID()
	c, err := k.stream(id, chunked)
	return err == nil && c.Body == wholeStream(id)
}

// wholeStream returns the body of a complete stream.
func wholeStream(id string) string {
	var b strings.Builder
	for n := 1; n <= streamEvents; n++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, standin.EventText(id, n))
	}
	return b.String()
}
