package soak

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"verbenaledge.example/platform/standin"
)

const (
	// mixedCallers and overRateCallers send one request after another, overRateCallers well above their rate limit.
	mixedCallers    = 6
	overRateCallers = 6
	jobCallers      = 5
	// mixedInterval, overRateInterval and jobInterval are the mean times between two requests or jobs of a caller.
	mixedInterval    = 250 * time.Millisecond
	overRateInterval = 60 * time.Millisecond
	jobInterval      = 400 * time.Millisecond
	// callTimeout is the time that a caller waits for a response. It exceeds the timeouts of the routes.
	callTimeout = 8 * time.Second
	// abandonPeriod is the mean number of requests of which one is abandoned by its caller before it ends.
	abandonPeriod = 12
	// jobItems is the number of items of each job. The ids of jobs and their items start with jobPrefix.
	jobItems  = 6
	jobPrefix = "job"
	// cancelPeriod is the mean number of jobs of which one is cancelled.
	cancelPeriod = 6
	// submitAttempts bounds how often a job is submitted until a host accepts it, submitRetryInterval is the time between.
	submitAttempts      = 8
	submitRetryInterval = 200 * time.Millisecond
	// readsPerJob is how often a caller reads a job that it has submitted.
	readsPerJob = 6
)

// Callers sends requests to the hosts of an environment and records the responses.
type Callers struct {
	env     *Environment
	journal journal
	lastID  atomic.Int64
	running sync.WaitGroup
}

// Start starts callers that send requests until the context ends.
func (c *Callers) Start(ctx context.Context) {
	seed := c.env.options.Seed
	c.startGroup(ctx, seed, mixedCallers, mixedInterval, func(ca *caller) { ca.sendMixed() })
	c.startGroup(ctx, seed+1000, overRateCallers, overRateInterval, func(ca *caller) { ca.request(RouteApp, keyOverRate) })
	c.startGroup(ctx, seed+3000, streamCallers, streamInterval, func(ca *caller) {
		ca.abandonPeriod = streamAbandonPeriod
		ca.requestStream(keyStreams)
	})
	c.startGroup(ctx, seed+2000, jobCallers, jobInterval, func(ca *caller) { ca.runJob() })
}

func (c *Callers) startGroup(ctx context.Context, seed uint64, count int, meanInterval time.Duration, action func(ca *caller)) {
	for n := range count {
		ca := &caller{group: c, random: rand.New(rand.NewPCG(seed, uint64(n))), client: &http.Client{Transport: &http.Transport{}}}
		c.running.Go(func() {
			defer ca.client.CloseIdleConnections()
			for ctx.Err() == nil {
				action(ca)
				select {
				case <-ctx.Done():
				case <-time.After(time.Duration(ca.random.ExpFloat64() * float64(meanInterval))):
				}
			}
		})
	}
}

// Wait waits for the last responses after the context of Start has ended.
func (c *Callers) Wait() { c.running.Wait() }

// caller is one simulated caller with its own persistent connections.
type caller struct {
	group  *Callers
	random *rand.Rand
	client *http.Client
	// neverAbandons keeps the caller from abandoning requests.
	neverAbandons bool
	// abandonPeriod replaces the constant abandonPeriod, unless it is 0.
	abandonPeriod int
	// body is that of each request; if it is empty, the body is the request's id. chunked makes it one of unstated length.
	body    string
	chunked bool
}

func (ca *caller) sendMixed() {
	switch n := ca.random.IntN(20); {
	case n < 6:
		ca.request(RouteStream, keyWithinRate)
	case n < 10:
		ca.requestStream(keyWithinRate)
	case n < 13:
		ca.request(RouteApp, keyWithinRate)
	case n < 17:
		ca.request(RouteOnce, keyWithinRate)
	case n < 19:
		ca.request(RouteApp, keyWithdrawn)
	default:
		ca.request(RouteApp, keyUnknown)
	}
}

// request sends one request to a random entry host.
func (ca *caller) request(route Route, key string) {
	ca.requestTo(ca.group.env.hosts[ca.random.IntN(entryHosts)], route, key)
}

func (ca *caller) requestTo(h *host, route Route, key string) (c Call) {
	return ca.requestWithHeader(h, route, key, nil)
}

// requestWithHeader sends a request with further headers. A stream has prompt parts in any case.
func (ca *caller) requestWithHeader(h *host, route Route, key string, further map[string]string) (c Call) {
	c = Call{ID: fmt.Sprintf("call-%d", ca.group.lastID.Add(1)), Host: h.name, Route: route, Key: key, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if !ca.neverAbandons && ca.random.IntN(cmp.Or(ca.abandonPeriod, abandonPeriod)) == 0 {
		abandon := time.AfterFunc(time.Duration(ca.random.IntN(100))*time.Millisecond, cancel)
		defer func() { c.Abandoned = !abandon.Stop() }()
	}
	process := h.processName()
	header := map[string]string{}
	if route == RouteStream || route == RouteResume {
		header = standin.StreamHeaders()
		header[standin.HeaderPromptParts] = promptParts(ca.group.lastID.Load())
	}
	maps.Copy(header, further)
	c.FirstAttempt, c.promptParts = header[standin.HeaderResumes], header[standin.HeaderPromptParts]
	c.ResumedAfter, _ = strconv.Atoi(header[standin.HeaderLastEvent]) // absent means from the start
	response, err := ca.send(ctx, h, http.MethodPost, "/"+string(route)+"/x", key, c.ID, header, cmp.Or(ca.body, c.ID))
	if err == nil {
		body, err := io.ReadAll(response.Body)
		c.Draining = standin.IsDraining(response.Header)
		_ = response.Body.Close() // read errors are in err
		c.Status, c.ResponseID, c.Body, c.Complete = response.StatusCode, response.Header.Get(standin.HeaderRequestID), string(body), err == nil
	}
	c.Ended = time.Now()
	if h.processName() == process {
		c.Process = process
	}
	ca.group.journal.addCall(c)
	return c
}

func (ca *caller) send(
	ctx context.Context, h *host, method, path, key, id string, header map[string]string, body string,
) (response *http.Response, err error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address(h.advertisedIP, callerPort)+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Host = "host.example"
	request.GetBody = nil // net/http must not retry the request
	if ca.chunked {
		request.ContentLength = -1
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set(standin.HeaderRequestID, id)
	for k, v := range header {
		request.Header.Set(k, v)
	}
	return ca.client.Do(request)
}

// runJob submits a job, reads it from random positions at random hosts, and cancels some jobs.
func (ca *caller) runJob() {
	id := fmt.Sprintf("%s%d", jobPrefix, ca.group.lastID.Add(1))
	if !ca.submitJob(id) {
		return
	}
	cancels := ca.random.IntN(cancelPeriod) == 0
	for range readsPerJob {
		time.Sleep(time.Duration(ca.random.IntN(300)) * time.Millisecond)
		ca.readJob(ca.anyHost(), id, ca.random.IntN(jobItems+1))
	}
	if cancels {
		ca.callJob(ca.anyHost(), JobCall{Job: id, Verb: verbCancel}, http.MethodDelete, standin.JobPath(id, 0), nil, "")
	}
}

func (ca *caller) anyHost() *host { return ca.group.env.hosts[ca.random.IntN(entryHosts)] }

// submitJob submits a job until a host accepts it.
func (ca *caller) submitJob(id string) (accepted bool) {
	body, err := standin.JobBody(id, jobItems)
	if err != nil {
		ca.group.env.addViolation("soak", id, err.Error())
		return false
	}
	for range submitAttempts {
		c := ca.callJob(ca.anyHost(), JobCall{Job: id, Verb: verbSubmit}, http.MethodPost, "/batch/x", standin.StreamHeaders(), string(body))
		if c.Status == statusAccepted {
			return true
		}
		time.Sleep(submitRetryInterval)
	}
	return false
}

// readJob reads the results of a job from a position on.
func (ca *caller) readJob(h *host, id string, after int) JobCall {
	return ca.callJob(h, JobCall{Job: id, Verb: verbRead, After: after}, http.MethodGet, standin.JobPath(id, after), standin.WaitHeaders(300), "")
}

func (ca *caller) callJob(h *host, c JobCall, method, path string, header map[string]string, body string) JobCall {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	c.Host, c.Sent = h.name, time.Now()
	id := c.Job
	if c.Verb != verbSubmit {
		id = fmt.Sprintf("%s-%s-%d", c.Verb, c.Job, ca.group.lastID.Add(1))
	}
	response, err := ca.send(ctx, h, method, path, keyWithinRate, id, header, body)
	if err == nil {
		raw, err := io.ReadAll(response.Body)
		_ = response.Body.Close() // read errors are in err
		if err == nil {
			c.Status = response.StatusCode
		}
		if err == nil && c.Verb == verbRead && c.Status == http.StatusOK {
			if err := json.Unmarshal(raw, &c.Listing); err != nil {
				ca.group.env.addViolation("outputs", c.Job, "cannot parse a job listing: "+err.Error())
			}
		}
	}
	c.Ended = time.Now()
	ca.group.journal.addJobCall(c)
	return c
}
