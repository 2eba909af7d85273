package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"verbenaledge.example/verbena/gossip"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/scripted"
)

// host holds a host's documents and its isolation detector.
type host struct {
	set       *gossip.DocumentSet
	isolation *gossip.IsolationDetector
}

func TestScripts(t *testing.T) {
	scripted.Run(t, func() scripted.Step {
		h := &host{set: gossip.NewDocumentSet(), isolation: gossip.NewIsolationDetector(3*time.Second, time.Unix(1000, 0))}
		return h.step
	})
}

func (h *host) step(t *testing.T, words scripted.Words) []string {
	now, name := words.Time(), words.At(2)
	switch words.At(1) {
	case "offer":
		return []string{fmt.Sprint(h.set.Offer(gossip.Document{Name: gossip.Name(name), Version: ids.Version(words.Number(3))}))}
	case "version":
		return []string{fmt.Sprint(h.set.Version(gossip.Name(name)))}
	case "newer_than":
		docs := h.set.NewerThan(gossip.Digest{gossip.Name(name): ids.Version(words.Number(3))})
		list := make([]string, 0, len(docs))
		for _, d := range docs {
			list = append(list, fmt.Sprint(d.Name, " ", d.Version))
		}
		return list
	case "is_behind":
		return []string{fmt.Sprint(h.set.IsBehind(gossip.Digest{gossip.Name(name): ids.Version(words.Number(3))}))}
	case "confirm":
		h.set.ConfirmFresh(now)
	case "age":
		return []string{h.set.Age(now).String()}
	case "peers":
		peers := make([]ids.HostID, 0, len(words))
		for _, p := range words[2:] {
			peers = append(peers, ids.HostID(p))
		}
		h.isolation.SetPeers(peers, now)
	case "peer_contact":
		h.isolation.RecordPeerContact(ids.HostID(name), now)
	case "platform_read":
		h.isolation.RecordPlatformRead(now)
	case "isolated":
		return []string{fmt.Sprint(h.isolation.Isolated(now))}
	default:
		t.Fatalf("unknown step: %v", words)
	}
	return nil
}
