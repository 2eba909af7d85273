package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"verbenaledge.example/platform/standin"
)

const (
	// usualCallers and pressingCallers send one request after another; pressing ones well beyond their rate.
	usualCallers    = 6
	pressingCallers = 6
	jobCallers      = 5
	// usualPause and pressingPause are the mean times between a caller's requests.
	usualPause    = 250 * time.Millisecond
	pressingPause = 60 * time.Millisecond
	jobPause      = 400 * time.Millisecond
	// callTime is how long a caller waits for an answer, above the time-out of the routes.
	callTime = 8 * time.Second
	// leaveShare is one in how many callers leaves in the middle of its request.
	leaveShare = 12
	// jobItems is the size of each job, jobPrefix begins the ids of jobs and their items.
	jobItems  = 6
	jobPrefix = "job"
	// endShare is one in how many jobs is ended early.
	endShare = 6
	// submitTries is how often a job is offered until a host accepts it.
	submitTries = 8
)

// Callers send requests to the hosts of a town and note what comes back.
type Callers struct {
	town    *Town
	journal journal
	serial  atomic.Int64
	working sync.WaitGroup
}

// Start sends until the context ends; Wait waits for the last answers.
func (c *Callers) Start(ctx context.Context) {
	seed := c.town.options.Seed
	c.start(ctx, seed, usualCallers, usualPause, func(a *agent) { a.usual() })
	c.start(ctx, seed+1000, pressingCallers, pressingPause, func(a *agent) { a.request(RouteApp, keyPressing) })
	c.start(ctx, seed+2000, jobCallers, jobPause, func(a *agent) { a.batch() })
}

func (c *Callers) start(ctx context.Context, seed uint64, count int, pause time.Duration, act func(a *agent)) {
	for n := range count {
		a := &agent{callers: c, random: rand.New(rand.NewPCG(seed, uint64(n))), http: &http.Client{Transport: &http.Transport{}}}
		c.working.Go(func() {
			defer a.http.CloseIdleConnections()
			for ctx.Err() == nil {
				act(a)
				select {
				case <-ctx.Done():
				case <-time.After(time.Duration(a.random.ExpFloat64() * float64(pause))):
				}
			}
		})
	}
}

// Wait returns once the last answer has come.
func (c *Callers) Wait() { c.working.Wait() }

// agent is one caller with connections of its own, which it keeps.
type agent struct {
	callers *Callers
	random  *rand.Rand
	http    *http.Client
	// stays tells that it never leaves in the middle.
	stays bool
}

func (a *agent) usual() {
	switch n := a.random.IntN(20); {
	case n < 6:
		a.request(RouteStream, keyUsual)
	case n < 10:
		a.request(RouteResume, keyUsual)
	case n < 13:
		a.request(RouteApp, keyUsual)
	case n < 17:
		a.request(RouteOnce, keyUsual)
	case n < 19:
		a.request(RouteApp, keyWithdrawn)
	default:
		a.request(RouteApp, keyUnknown)
	}
}

// request sends one request to a host that callers reach.
func (a *agent) request(route Route, key string) {
	a.requestTo(a.callers.town.hosts[a.random.IntN(fronts)], route, key)
}

func (a *agent) requestTo(h *host, route Route, key string) (c Call) {
	c = Call{ID: fmt.Sprintf("call-%d", a.callers.serial.Add(1)), Route: route, Key: key, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	if !a.stays && a.random.IntN(leaveShare) == 0 {
		leave := time.AfterFunc(time.Duration(a.random.IntN(100))*time.Millisecond, cancel)
		defer leave.Stop()
	}
	life := h.now()
	header := map[string]string{}
	if route == RouteStream || route == RouteResume {
		header = standin.StreamHeaders()
	}
	answer, err := a.send(ctx, h, http.MethodPost, "/"+string(route)+"/x", key, c.ID, header, c.ID)
	if err == nil {
		body, err := io.ReadAll(answer.Body)
		c.Draining = standin.IsDraining(answer.Header)
		_ = answer.Body.Close() // what can't be read any more shows in err
		c.Status, c.AnswerID, c.Body, c.Whole = answer.StatusCode, answer.Header.Get(standin.HeaderRequestID), string(body), err == nil
	}
	c.Ended = time.Now()
	if h.now() == life {
		c.Life = life
	}
	a.callers.journal.call(c)
	return c
}

func (a *agent) send(
	ctx context.Context, h *host, method, path, key, id string, header map[string]string, body string,
) (answer *http.Response, err error) {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+address(h.listed, callerPort)+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	q.Host = "host.example"
	q.GetBody = nil // the library must not send a request again by itself
	q.Header.Set("Authorization", "Bearer "+key)
	q.Header.Set(standin.HeaderRequestID, id)
	for k, v := range header {
		q.Header.Set(k, v)
	}
	return a.http.Do(q)
}

// batch submits a job, reads it from any position at any host, and ends some.
func (a *agent) batch() {
	id := fmt.Sprintf("%s%d", jobPrefix, a.callers.serial.Add(1))
	if !a.submit(id) {
		return
	}
	ends := a.random.IntN(endShare) == 0
	for range 6 {
		time.Sleep(time.Duration(a.random.IntN(300)) * time.Millisecond)
		a.read(a.host(), id, a.random.IntN(jobItems+1))
	}
	if ends {
		a.job(a.host(), JobCall{Job: id, Verb: verbEnd}, http.MethodDelete, standin.JobPath(id, 0), nil, "")
	}
}

func (a *agent) host() *host { return a.callers.town.hosts[a.random.IntN(fronts)] }

// submit offers a job until a host accepts it.
func (a *agent) submit(id string) (accepted bool) {
	body, err := standin.JobBody(id, jobItems)
	if err != nil {
		a.callers.town.violate("soak", id, err.Error())
		return false
	}
	for range submitTries {
		c := a.job(a.host(), JobCall{Job: id, Verb: verbSubmit}, http.MethodPost, "/batch/x", standin.StreamHeaders(), string(body))
		if c.Status == statusAccepted {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// read reads a job from a position on.
func (a *agent) read(h *host, id string, after int) JobCall {
	return a.job(h, JobCall{Job: id, Verb: verbRead, After: after}, http.MethodGet, standin.JobPath(id, after), standin.WaitHeaders(300), "")
}

func (a *agent) job(h *host, c JobCall, method, path string, header map[string]string, body string) JobCall {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	c.Host, c.Sent = h.name, time.Now()
	id := c.Job
	if c.Verb != verbSubmit {
		id = fmt.Sprintf("%s-%s-%d", c.Verb, c.Job, a.callers.serial.Add(1))
	}
	answer, err := a.send(ctx, h, method, path, keyUsual, id, header, body)
	if err == nil {
		raw, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close() // what can't be read any more shows in err
		if err == nil {
			c.Status = answer.StatusCode
		}
		if err == nil && c.Verb == verbRead && c.Status == http.StatusOK {
			if err := json.Unmarshal(raw, &c.Listing); err != nil {
				a.callers.town.violate("outputs", c.Job, "a listing can't be read: "+err.Error())
			}
		}
	}
	c.Ended = time.Now()
	a.callers.journal.job(c)
	return c
}
