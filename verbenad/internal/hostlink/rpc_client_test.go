package hostlink

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
)

// TestReplyBeforeEndCounts guards against calls that end without a reply although it has been read: the link, the context or the
// time for the reply had ended, too, by the time the caller ran.
func TestReplyBeforeEndCounts(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	over := make(chan time.Time)
	close(over)
	for name, test := range map[string]struct {
		ctx        context.Context //nolint:containedctx // it is what the test is about
		timeout    <-chan time.Time
		linkClosed bool
	}{
		"link":    {ctx: t.Context(), linkClosed: true},
		"context": {ctx: ended},
		"time":    {ctx: t.Context(), timeout: over},
	} {
		t.Run(name, func(t *testing.T) {
			const calls = 100
			client := NewRPCClient("h", func() []string { return nil })
			ours, theirs := net.Pipe()
			defer func() { _ = theirs.Close() }()
			p := &peerConn{link: newLink(ours, nil)}
			defer p.link.Close()
			if test.linkClosed {
				p.link.Close()
			}
			lost := 0
			for range calls {
				reply := make(chan bulk.Reply, 1)
				reply <- bulk.Reply{Code: bulk.Done}
				r, err := client.awaitReply(test.ctx, p, reply, test.timeout)
				if err != nil {
					qt.Assert(t, err, qt.ErrorIs, ErrNoReply)
					lost++
					continue
				}
				qt.Assert(t, r.Code, qt.Equals, bulk.Done)
			}
			qt.Assert(t, lost, qt.Equals, 0)
		})
	}
}
