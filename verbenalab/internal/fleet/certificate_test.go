package fleet_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/timeline"
	"verbenaledge.example/verbenalab/internal/certs"
)

// TestCertificates renews a host's certificate without a restart. Then it restarts a host with an expired certificate,
// which its peers must refuse and record in their timelines, and with a certificate of another authority, while the
// other hosts must continue to serve.
func TestCertificates(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, withSettings("peer", map[string]any{"reload": "500ms"}))
	f.Assert(f.Authority().WriteHost(f.dir, f.Hosts[0].ID), qt.IsNil)
	f.eventually(10*time.Second, "the certificate is renewed", func() bool { return f.hasEvent(timeline.CertificateRenewed) })
	f.Assert(f.chat(f.Hosts[0], "archive", "renewed").Complete(), qt.IsTrue)
	bad := f.Hosts[2]
	bad.Kill()
	f.Assert(f.Authority().WriteHostWithExpiry(f.dir, bad.ID, time.Now().Add(-time.Minute)), qt.IsNil)
	f.Assert(f.StartHost(bad), qt.IsNil)
	f.eventually(20*time.Second, "the expired certificate is refused", func() bool { return f.hasEvent(timeline.CertificateRefused) })
	bad.Kill()
	other, err := certs.NewAuthority()
	f.Assert(err, qt.IsNil)
	f.Assert(other.WriteHost(f.dir, bad.ID), qt.IsNil)
	f.Assert(f.StartHost(bad), qt.IsNil)
	f.eventually(20*time.Second, "the other hosts serve", func() bool { return f.chat(f.Hosts[0], "archive", "fine").Complete() })
}

// hasEvent reports whether any host's timeline has an event of a kind.
func (f *testFleet) hasEvent(kind timeline.Kind) bool {
	events, err := f.Events(f.ctx)
	return err == nil && slices.ContainsFunc(events, func(e timeline.Event) bool { return e.Kind == kind })
}
