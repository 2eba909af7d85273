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

// TestLargeDocumentTravelsOnce gives one host of eight a large document: the others
// get it from a peer, and none gets it from more than a few.
func TestLargeDocumentTravelsOnce(t *testing.T) {
	w := newTown(8)
	for _, h := range w.hosts {
		h.noPlat = true
	}
	w.run(2 * time.Second)
	value := []byte("service m kind=model # asked by ana\n" + strings.Repeat("# a long file\n", 4000))
	received := map[ids.HostID]int{}
	w.heard = func(h ids.HostID, m peer.Message) {
		if g, ok := m.(*peer.Gossip); ok && len(g.Documents) > 0 {
			received[h]++
		}
	}
	w.step(w.hosts[0], core.ConfigRead{RequestedAt: w.now, Documents: []gossip.Document{{Name: gossip.Rules, Version: 9, Value: value}}})
	w.run(3 * time.Second)
	total := 0
	for _, h := range w.hosts[1:] {
		if received[h.id] == 0 {
			t.Fatalf("%s didn't get the document", h.id)
		}
		total += received[h.id]
	}
	if total > 2*(len(w.hosts)-1) {
		t.Fatalf("the document was sent %d times to %d hosts", total, len(w.hosts)-1)
	}
}
