package logs_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbenad/internal/logs"
)

// TestPanicsOfHandlersAreLogged guards against a handler whose panics nobody sees, as net/http recovers from them. A response
// that is broken off on purpose isn't one.
func TestPanicsOfHandlersAreLogged(t *testing.T) {
	c := qt.New(t)
	kept, former := memory.New(), log.Log
	log.Log = &log.Logger{Handler: kept, Level: log.InfoLevel}
	defer func() { log.Log = former }()
	var counted atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/abort" {
			panic(http.ErrAbortHandler)
		}
		panic("no rows")
	}))
	s.Config.ErrorLog = logs.NewServerErrorLog(func() { counted.Add(1) })
	s.Start()
	for _, path := range []string{"/abort", "/fault"} {
		response, err := http.Post(s.URL+path, "text/plain", nil)
		if err == nil {
			_ = response.Body.Close() // no response is expected
		}
		c.Check(err, qt.IsNotNil)
	}
	s.Close()
	c.Assert(counted.Load(), qt.Equals, int64(1))
	c.Assert(kept.Entries, qt.HasLen, 1)
	c.Assert(kept.Entries[0].Message, qt.Equals, "handler panicked")
	c.Assert(kept.Entries[0].Level, qt.Equals, log.ErrorLevel)
	c.Assert(kept.Entries[0].Fields["text"], qt.Contains, "no rows")
}
