package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/catalog"
)

// lateBody is displaced as its last bytes are read.
type lateBody struct{ displace func() }

func (b lateBody) Read(p []byte) (n int, err error) {
	b.displace()
	return copy(p, "body"), io.EOF
}

// TestCompleteBodyIsNotDisplacedUnnoticed guards against a request that goes on with a context that is canceled, since its body was
// displaced between its last byte and its removal.
func TestCompleteBodyIsNotDisplacedUnnoticed(t *testing.T) {
	c := qt.New(t)
	clock := &manualClock{now: time.Unix(1000, 0)}
	h := New(nil, nil, nil, nil, nil, clock, 64)
	r := httptest.NewRequest(http.MethodPost, "/", lateBody{func() {
		clock.now = clock.now.Add(time.Second)
		h.EndSlowestBody()
	}})
	r.ContentLength = int64(len("body"))
	req := &request{httpRequest: r, writer: httptest.NewRecorder(), deadline: clock.now.Add(time.Minute)}
	c.Assert(h.readBody(req, catalog.New(1, nil, nil, nil, catalog.Limits{})), qt.Equals, errDisplaced)
	h.releaseBody(req)
}
