package core_test

import (
	"strings"
	"testing"
	"time"

	"verbenaledge.example/verbena/core"
	"verbenaledge.example/verbena/gossip"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/peer"
)

// TestLargeDocumentIsSentFewTimes gives one of eight hosts a large document. All others must receive it from a
// peer, on average at most twice.
func TestLargeDocumentIsSentFewTimes(t *testing.T) {
	cl := newCluster(8)
	for _, h := range cl.hosts {
		h.noPlatform = true
	}
	cl.run(2 * time.Second)
	value := []byte("service m kind=model # asked by ana\n" + strings.Repeat("# a long file\n", 4000))
	received := map[ids.HostID]int{}
	cl.onMessage = func(h ids.HostID, m peer.Message) {
		if g, ok := m.(*peer.Gossip); ok && len(g.Documents) > 0 {
			received[h]++
		}
	}
	cl.step(cl.hosts[0], core.ConfigRead{RequestedAt: cl.now, Documents: []gossip.Document{{Name: gossip.Rules, Version: 9, Value: value}}})
	cl.run(3 * time.Second)
	total := 0
	for _, h := range cl.hosts[1:] {
		if received[h.id] == 0 {
			t.Fatalf("%s didn't get the document", h.id)
		}
		total += received[h.id]
	}
	if total > 2*(len(cl.hosts)-1) {
		t.Fatalf("the document was sent %d times to %d hosts", total, len(cl.hosts)-1)
	}
}
