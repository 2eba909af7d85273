package entry

import (
	"net/http"
	"sync"
	"time"

	"verbenaledge.example/verbena/callerguard"
	"verbenaledge.example/verbena/clock"
)

// EndSlowestBody ends the request whose body arrives most slowly, if one has been read for a while.
func (h *Handler) EndSlowestBody() { h.bodies.displaceSlowest(nil) }

// unfinishedBodies are the bodies that are being read.
type unfinishedBodies struct {
	clock clock.Clock

	mu  sync.Mutex
	set *callerguard.Bodies
}

func newUnfinishedBodies(c clock.Clock) *unfinishedBodies {
	return &unfinishedBodies{clock: c, set: callerguard.NewBodies()}
}

// add adds a body that begins to be read. Displacing it makes its reads fail.
func (u *unfinishedBodies) add(w http.ResponseWriter) *callerguard.Body {
	control := http.NewResponseController(w)
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.set.Add(func() {
		_ = control.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection, as reading then does
	}, u.clock.Now())
}

func (u *unfinishedBodies) arrived(e *callerguard.Body, bytes int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	e.Arrived(bytes)
}

// displaceSlowest ends the body that arrives most slowly. It returns false if that is the given one, and if there is no other.
func (u *unfinishedBodies) displaceSlowest(than *callerguard.Body) (other bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.set.DisplaceSlowest(than, u.clock.Now())
}

// remove reports whether the body was displaced.
func (u *unfinishedBodies) remove(e *callerguard.Body) (displaced bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.set.Remove(e)
}
