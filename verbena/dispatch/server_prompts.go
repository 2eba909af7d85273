package dispatch

import (
	"time"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/promptcache"
)

// serverPrompts is what is known of the prompts at one server.
type serverPrompts struct {
	// cache is nil until a request with a prompt has been placed.
	cache *promptcache.Cache
	// unread estimates the tokens that the server had to read as of a time. It is kept in tokens, since the known reading speed
	// changes.
	unread float64
	at     time.Time
}

// unreadAt returns the tokens that the server has to read at a time.
func (s *serverPrompts) unreadAt(now time.Time, tokenSeconds float64) float64 {
	if tokenSeconds <= 0 {
		return 0
	}
	return max(0, s.unread-now.Sub(s.at).Seconds()/tokenSeconds)
}

// forget clears what is held.
func (s *serverPrompts) forget() {
	s.unread = 0
	if s.cache != nil {
		s.cache.Clear()
	}
}

// observePromptsHeld forgets what a server held before it started again, before its software changed, or for another service.
func (s *server) observePromptsHeld(listed directory.Server) {
	if s.Incarnation != listed.Incarnation || s.SoftwareVersion != listed.SoftwareVersion || s.Service != listed.Service {
		s.prompts.forget()
	}
	if s.Service != listed.Service {
		s.prompts = serverPrompts{}
	}
}
