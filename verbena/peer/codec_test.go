package peer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/gossip"
	"verbenaledge.example/verbena/peer"
	"verbenaledge.example/verbena/quota"
)

// TestRoundTrip checks that messages are unchanged by encoding and decoding, and that
// an unknown kind is reported as such.
func TestRoundTrip(t *testing.T) {
	for _, m := range []peer.Message{
		&peer.Gossip{From: "h", Digest: gossip.Digest{gossip.Rules: 7}, Documents: []gossip.Document{{Name: "rules", Version: 7, Value: []byte("x")}}},
		&peer.QuotaRequest{From: "h", Request: quota.TokenRequest{Bucket: quota.Bucket{Workspace: "w", Service: "s"}, Want: 3, Share: quota.HeldShare{Remaining: 5}}},
		&peer.Ack{},
		&peer.Refusal{Reason: peer.NotOwner},
	} {
		data, err := peer.Marshal(m)
		qt.Assert(t, err, qt.IsNil)
		got, err := peer.Unmarshal(data)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.DeepEquals, m)
	}
	_, err := peer.Unmarshal([]byte{0x82, 0x18, 0xff, 0xa0})
	qt.Assert(t, err, qt.ErrorIs, peer.ErrUnknownKind)
}

// FuzzUnmarshal checks that no input makes the decoder panic, and that every decoded
// message can be encoded again.
func FuzzUnmarshal(f *testing.F) {
	data, err := peer.Marshal(&peer.Gossip{From: "h", Digest: gossip.Digest{gossip.Rules: 7}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0x82, 0x01, 0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := peer.Unmarshal(data)
		if err != nil {
			return
		}
		if _, err := peer.Marshal(m); err != nil {
			t.Fatal(err)
		}
	})
}
