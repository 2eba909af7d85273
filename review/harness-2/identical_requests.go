package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"verbenaledge.example/platform/standin"
)

const (
	// lookupsPerSecond and streamsPerSecond are about those of lusk-centrala's sheet, whose lookups take lookupTime.
	lookupsPerSecond = 12.5
	streamsPerSecond = 40
	lookupTime       = 60 * time.Millisecond
	// hotFactor is how many times its usual the hot tenant sends, from hotAt on for hotTime.
	hotFactor = 7.5
	hotAt     = 8 * time.Second
	hotTime   = 6500 * time.Millisecond
	// crashAt is when all servers of the application crash, for crashTime.
	crashAt   = hotAt + 500*time.Millisecond
	crashTime = 4500 * time.Millisecond
	dayTime   = 60 * time.Second
	// starvedShare is the share of all requests' service that each kind of request must have.
	starvedShare = 0.25
)

// appServer is a server of the application service that can crash.
type appServer struct {
	world   *world
	address string
	zone    string
	takes   time.Duration
	http    *http.Server
	stop    chan struct{}

	// ran holds the ids of the requests that have reached the server.
	ran sync.Map
}

// start starts the server under a new id, with its heartbeats.
func (s *appServer) start(id string) error {
	ln, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.address, s.stop = ln.Addr().String(), make(chan struct{})
	s.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(standin.HeaderRequestID, r.Header.Get(standin.HeaderRequestID))
		if e := r.Header.Get("X-Verbenaledge-Expect-Instance"); e != "" && e != id {
			misdirected(w)
			return
		}
		s.ran.Store(r.Header.Get(standin.HeaderRequestID), true)
		time.Sleep(s.takes)
		w.Header().Set(standin.HeaderSignature, "3e1b.07.5a2.600.0.c9f2a4d1")
		fmt.Fprint(w, "valid")
	})}
	go func() { _ = s.http.Serve(ln) }()
	entry := &standin.Server{ID: id, Service: application, Slots: 6}
	entry.Restart(time.Now())
	if err := standin.Register(s.world.store, entry, s.address, s.zone, "ready"); err != nil {
		return err
	}
	go func(stop <-chan struct{}) {
		for {
			select {
			case <-stop:
				time.Sleep(3 * heartbeat) // the platform removes the entry after three heartbeats
				_ = standin.Deregister(s.world.store, id)
				return
			case <-time.After(heartbeat):
				_ = standin.Register(s.world.store, entry, s.address, s.zone, "ready")
			}
		}
	}(s.stop)
	return nil
}

// crash ends the server and its connections at once.
func (s *appServer) crash() {
	close(s.stop)
	_ = s.http.Close()
}

// tally counts the requests of one kind by second.
type tally struct {
	mu           sync.Mutex
	sent, served int
	bySecond     map[int][2]int
}

func (t *tally) add(at time.Duration, served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	second := t.bySecond[int(at.Seconds())]
	t.sent++
	second[0]++
	if served {
		t.served++
		second[1]++
	}
	t.bySecond[int(at.Seconds())] = second
}

func (t *tally) share() float64 { return float64(t.served) / float64(max(1, t.sent)) }

// lookup asks for one thing: path, caller and body are the same each time.
func (w *world) lookup(f *host) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d%sstamps/7c41", f.settings.ip, f.settings.callerPort, plainPrefix)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	r.Host, r.Close = hostName, true
	r.Header.Set(standin.HeaderRequestID, newID())
	r.Header.Set("Authorization", "Bearer "+tenantKey)
	r.Header.Set("X-Verbenaledge-Deadline-Ms", "3000")
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// send sends requests of a kind at a rate until the day ends.
func send(begin time.Time, rate func(at time.Duration) float64, t *tally, request func(n int) bool, all *sync.WaitGroup) {
	due := time.Duration(0)
	for n := 0; due < dayTime; n++ {
		time.Sleep(time.Until(begin.Add(due)))
		at := due
		all.Go(func() { t.add(at, request(n)) })
		due += time.Duration(float64(time.Second) / rate(at))
	}
}

// identicalRequests has clients of one tenant look up the same thing all day, while others ask for streams. With trouble, the tenant sends
// many times its usual for some seconds, in which the servers of the lookups crash and start again.
func identicalRequests(record string, trouble bool) (breaks []string, err error) {
	config := configuration(7, streamRoute(), plainRoute(3000), batchRoute())
	tenants, _ := config["tenants"].([]map[string]any)
	tenants[0]["ratePerS"], tenants[0]["burstSize"] = 100, 100
	w, err := newWorld(record, options{
		fronts: 3, storage: 3, servers: 9, frontMB: smallFrontMB, storageMB: 164, slots: 8, events: streamEvents, eventBytes: 20, config: config,
	})
	if w != nil {
		defer w.stop()
	}
	if err != nil {
		return nil, err
	}
	apps := make([]*appServer, 3)
	for n := range apps {
		apps[n] = &appServer{world: w, address: "127.0.0.1:0", zone: zone(n), takes: lookupTime}
		if err := apps[n].start(fmt.Sprintf("a-%d", n)); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * time.Second)
	begin := time.Now()
	lookups, streams := &tally{bySecond: make(map[int][2]int)}, &tally{bySecond: make(map[int][2]int)}
	var senders, requests sync.WaitGroup
	senders.Go(func() {
		send(begin, func(at time.Duration) float64 {
			if trouble && at >= hotAt && at < hotAt+hotTime {
				return hotFactor * lookupsPerSecond
			}
			return lookupsPerSecond
		}, lookups, func(n int) bool { return w.lookup(w.fronts[n%3]) }, &requests)
	})
	senders.Go(func() {
		send(begin, func(time.Duration) float64 { return streamsPerSecond }, streams, func(n int) bool {
			return w.quietStream(w.fronts[n%3])
		}, &requests)
	})
	if trouble {
		if err := w.crashAll(begin, apps); err != nil {
			return nil, err
		}
	}
	senders.Wait()
	requests.Wait()
	for second := range int(dayTime.Seconds()) {
		l, s := lookups.bySecond[second], streams.bySecond[second]
		w.note("second %d: lookups %d sent, %d served; streams %d sent, %d served", second, l[0], l[1], s[0], s[1])
	}
	all := float64(lookups.served+streams.served) / float64(lookups.sent+streams.sent)
	w.note("lookups: %.3f of %d served; all requests: %.3f of %d served", lookups.share(), lookups.sent, all, lookups.sent+streams.sent)
	if lookups.share() < starvedShare*all {
		breaks = append(breaks, fmt.Sprintf("Starved: %.3f of the lookups are served, %.3f of all requests", lookups.share(), all))
	}
	return breaks, nil
}

// crashAll has all servers of the application crash, and start again under new ids.
func (w *world) crashAll(begin time.Time, apps []*appServer) error {
	time.Sleep(time.Until(begin.Add(crashAt)))
	for _, a := range apps {
		a.crash()
	}
	w.note("all servers of the application have crashed")
	time.Sleep(crashTime)
	for n, a := range apps {
		if err := a.start(fmt.Sprintf("b-%d", n)); err != nil {
			return err
		}
	}
	w.note("all servers of the application are back")
	return nil
}
