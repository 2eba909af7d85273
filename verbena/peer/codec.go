package peer

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// MaxMessageBytes bounds one encoded message.
const MaxMessageBytes = 8 << 20

// ErrUnknownKind says that the sender speaks a newer protocol.
var ErrUnknownKind = errors.New("unknown kind of message; the sender may be newer")

// kind numbers a message type on the wire. Numbers are never used again.
type kind uint8

const (
	kindGossip       kind = 1
	kindQuotaAsk     kind = 2
	kindQuotaAnswer  kind = 3
	kindItemsAsk     kind = 4
	kindItems        kind = 5
	kindItemsDone    kind = 6
	kindStopItems    kind = 7
	kindOnlineNotice kind = 8
	kindJobChanged   kind = 9
	kindCrashed      kind = 10
	kindVerdict      kind = 11
	kindSuspects     kind = 12
	kindPromiseAsk   kind = 13
	kindPromiseReply kind = 14
	kindAck          kind = 15
	kindRefusal      kind = 16
	kindProgressAsk  kind = 17
	kindProgress     kind = 18
)

type envelope struct {
	_    struct{} `cbor:",toarray"`
	Kind kind
	Body cbor.RawMessage
}

var decoding = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 17,
		MaxMapPairs:      1 << 16,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Marshal encodes a message.
func Marshal(m Message) (data []byte, err error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return cbor.Marshal(envelope{Kind: kindOf(m), Body: body})
}

// Unmarshal decodes a message.
func Unmarshal(data []byte) (m Message, err error) {
	defer func() {
		if err != nil {
			m, err = nil, fmt.Errorf("decode message: %w", err)
		}
	}()
	if len(data) > MaxMessageBytes {
		return nil, fmt.Errorf("larger than %d bytes", MaxMessageBytes)
	}
	var e envelope
	if err := decoding.Unmarshal(data, &e); err != nil {
		return nil, err
	}
	m = empty(e.Kind)
	if m == nil {
		return nil, ErrUnknownKind
	}
	return m, decoding.Unmarshal(e.Body, m)
}

func kindOf(m Message) kind {
	switch m.(type) {
	case *Gossip:
		return kindGossip
	case *QuotaAsk:
		return kindQuotaAsk
	case *QuotaAnswer:
		return kindQuotaAnswer
	case *ItemsAsk:
		return kindItemsAsk
	case *Items:
		return kindItems
	case *ItemsDone:
		return kindItemsDone
	case *StopItems:
		return kindStopItems
	case *OnlineNotice:
		return kindOnlineNotice
	case *JobChanged:
		return kindJobChanged
	case *Crashed:
		return kindCrashed
	case *Verdict:
		return kindVerdict
	case *Suspects:
		return kindSuspects
	case *PromiseAsk:
		return kindPromiseAsk
	case *PromiseReply:
		return kindPromiseReply
	case *Ack:
		return kindAck
	case *Refusal:
		return kindRefusal
	case *ProgressAsk:
		return kindProgressAsk
	case *Progress:
		return kindProgress
	}
	return 0
}

func empty(k kind) Message {
	switch k {
	case kindGossip:
		return &Gossip{}
	case kindQuotaAsk:
		return &QuotaAsk{}
	case kindQuotaAnswer:
		return &QuotaAnswer{}
	case kindItemsAsk:
		return &ItemsAsk{}
	case kindItems:
		return &Items{}
	case kindItemsDone:
		return &ItemsDone{}
	case kindStopItems:
		return &StopItems{}
	case kindOnlineNotice:
		return &OnlineNotice{}
	case kindJobChanged:
		return &JobChanged{}
	case kindCrashed:
		return &Crashed{}
	case kindVerdict:
		return &Verdict{}
	case kindSuspects:
		return &Suspects{}
	case kindPromiseAsk:
		return &PromiseAsk{}
	case kindPromiseReply:
		return &PromiseReply{}
	case kindAck:
		return &Ack{}
	case kindRefusal:
		return &Refusal{}
	case kindProgressAsk:
		return &ProgressAsk{}
	case kindProgress:
		return &Progress{}
	}
	return nil
}
