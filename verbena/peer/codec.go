package peer

import (
	"errors"
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// MaxMessageBytes is the maximum size of an encoded message.
const MaxMessageBytes = 8 << 20

// ErrUnknownKind reports a message of a kind that this version doesn't know.
var ErrUnknownKind = errors.New("unknown message kind; the sender may run a newer version")

// kind identifies a message type in an encoded message. Numbers are never reused.
type kind uint8

const (
	kindGossip             kind = 1
	kindQuotaRequest       kind = 2
	kindQuotaReply         kind = 3
	kindItemsRequest       kind = 4
	kindItemsReply         kind = 5
	kindOutcomeReport      kind = 6
	kindCancelItems        kind = 7
	kindOnlineReport       kind = 8
	kindJobChanged         kind = 9
	kindCrashReport        kind = 10
	kindVerdict            kind = 11
	kindSuspectUpdate      kind = 12
	kindPromiseRequest     kind = 13
	kindPromiseReply       kind = 14
	kindAck                kind = 15
	kindRefusal            kind = 16
	kindProgressRequest    kind = 17
	kindProgress           kind = 18
	kindHandover           kind = 19
	kindOnlineCount        kind = 20
	kindSuspectSlotRequest kind = 21
)

type envelope struct {
	_    struct{} `cbor:",toarray"`
	Kind kind
	Body cbor.RawMessage
}

var decMode = mustDecMode()

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
	return cbor.Marshal(envelope{Kind: kindByType[reflect.TypeOf(m)], Body: body})
}

// Unmarshal decodes a message.
func Unmarshal(data []byte) (m Message, err error) {
	defer func() {
		if err != nil {
			m, err = nil, fmt.Errorf("decode message: %w", err)
		}
	}()
	if len(data) > MaxMessageBytes {
		return nil, fmt.Errorf("message is larger than %d bytes", MaxMessageBytes)
	}
	var env envelope
	if err := decMode.Unmarshal(data, &env); err != nil {
		return nil, err
	}
	construct, known := constructors[env.Kind]
	if !known {
		return nil, ErrUnknownKind
	}
	m = construct()
	return m, decMode.Unmarshal(env.Body, m)
}

// constructors returns an empty message of each kind.
var constructors = map[kind]func() Message{
	kindGossip:             func() Message { return &Gossip{} },
	kindQuotaRequest:       func() Message { return &QuotaRequest{} },
	kindQuotaReply:         func() Message { return &QuotaReply{} },
	kindItemsRequest:       func() Message { return &ItemsRequest{} },
	kindItemsReply:         func() Message { return &ItemsReply{} },
	kindOutcomeReport:      func() Message { return &OutcomeReport{} },
	kindCancelItems:        func() Message { return &CancelItems{} },
	kindOnlineReport:       func() Message { return &OnlineReport{} },
	kindJobChanged:         func() Message { return &JobChanged{} },
	kindCrashReport:        func() Message { return &CrashReport{} },
	kindVerdict:            func() Message { return &Verdict{} },
	kindSuspectUpdate:      func() Message { return &SuspectUpdate{} },
	kindPromiseRequest:     func() Message { return &PromiseRequest{} },
	kindPromiseReply:       func() Message { return &PromiseReply{} },
	kindAck:                func() Message { return &Ack{} },
	kindRefusal:            func() Message { return &Refusal{} },
	kindProgressRequest:    func() Message { return &ProgressRequest{} },
	kindProgress:           func() Message { return &Progress{} },
	kindHandover:           func() Message { return &Handover{} },
	kindOnlineCount:        func() Message { return &OnlineCount{} },
	kindSuspectSlotRequest: func() Message { return &SuspectSlotRequest{} },
}

// kindByType maps message types to their kinds.
var kindByType = indexKinds()

func indexKinds() map[reflect.Type]kind {
	m := make(map[reflect.Type]kind, len(constructors))
	for k, f := range constructors {
		m[reflect.TypeOf(f())] = k
	}
	return m
}
