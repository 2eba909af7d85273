package peer

import (
	"errors"
	"fmt"
	"reflect"

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
	kindHandover     kind = 19
	kindOnlineCount  kind = 20
	kindSuspectAsk   kind = 21
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
	return cbor.Marshal(envelope{Kind: kinds[reflect.TypeOf(m)], Body: body})
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
	empty, known := registry[e.Kind]
	if !known {
		return nil, ErrUnknownKind
	}
	m = empty()
	return m, decoding.Unmarshal(e.Body, m)
}

// registry gives an empty message of each kind.
var registry = map[kind]func() Message{
	kindGossip:       func() Message { return &Gossip{} },
	kindQuotaAsk:     func() Message { return &QuotaRequest{} },
	kindQuotaAnswer:  func() Message { return &QuotaReply{} },
	kindItemsAsk:     func() Message { return &ItemsRequest{} },
	kindItems:        func() Message { return &ItemsReply{} },
	kindItemsDone:    func() Message { return &OutcomeReport{} },
	kindStopItems:    func() Message { return &CancelItems{} },
	kindOnlineNotice: func() Message { return &OnlineReport{} },
	kindJobChanged:   func() Message { return &JobChanged{} },
	kindCrashed:      func() Message { return &CrashReport{} },
	kindVerdict:      func() Message { return &Verdict{} },
	kindSuspects:     func() Message { return &SuspectUpdate{} },
	kindPromiseAsk:   func() Message { return &PromiseRequest{} },
	kindPromiseReply: func() Message { return &PromiseReply{} },
	kindAck:          func() Message { return &Ack{} },
	kindRefusal:      func() Message { return &Refusal{} },
	kindProgressAsk:  func() Message { return &ProgressRequest{} },
	kindProgress:     func() Message { return &Progress{} },
	kindHandover:     func() Message { return &Handover{} },
	kindOnlineCount:  func() Message { return &OnlineCount{} },
	kindSuspectAsk:   func() Message { return &SuspectSlotRequest{} },
}

// kinds finds the kind of a message by its type.
var kinds = kindsByType()

func kindsByType() map[reflect.Type]kind {
	m := make(map[reflect.Type]kind, len(registry))
	for k, empty := range registry {
		m[reflect.TypeOf(empty())] = k
	}
	return m
}
