package fleet_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/timeline"
	"verbenaledge.example/verbenalab/internal/certs"
)

// TestCertificates renews a host's certificate without a restart, and starts a host
// with one that has expired and one of another authority: its peers refuse it and
// say so.
func TestCertificates(t *testing.T) {
	t.Parallel()
	r := newRig(t, setting("peer", map[string]any{"reload": "500ms"}))
	r.Assert(r.Authority().WriteHost(r.dir, r.Hosts[0].ID), qt.IsNil)
	r.eventually(10*time.Second, "the certificate is renewed", func() bool { return r.has(timeline.CertificateRenewed) })
	r.Assert(r.ask(r.Hosts[0], "archive", "renewed").Whole(), qt.IsTrue)
	bad := r.Hosts[2]
	bad.Kill()
	r.Assert(r.Authority().WriteHostUntil(r.dir, bad.ID, time.Now().Add(-time.Minute)), qt.IsNil)
	r.Assert(r.StartHost(bad), qt.IsNil)
	r.eventually(20*time.Second, "the expired certificate is refused", func() bool { return r.has(timeline.CertificateRefused) })
	bad.Kill()
	other, err := certs.NewAuthority()
	r.Assert(err, qt.IsNil)
	r.Assert(other.WriteHost(r.dir, bad.ID), qt.IsNil)
	r.Assert(r.StartHost(bad), qt.IsNil)
	r.eventually(20*time.Second, "the rest goes on", func() bool { return r.ask(r.Hosts[0], "archive", "fine").Whole() })
}

// has tells whether any host's time line holds an event of a kind.
func (r *rig) has(kind timeline.Kind) bool {
	events, err := r.Events(r.ctx)
	return err == nil && slices.ContainsFunc(events, func(e timeline.Event) bool { return e.Kind == kind })
}
