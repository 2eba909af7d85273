// Package hostlink carries messages between hosts: CBOR frames with a length over TCP.
package hostlink

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
)

// maxFrame bounds a message: a batch job with its bodies.
const maxFrameSize = 16 << 20

// Frame is one message; the fields that are set say which.
type Frame struct {
	// Call pairs an answer with its question.
	CallID      uint64                `cbor:"1,keyasint,omitempty"`
	Hello       *Hello                `cbor:"2,keyasint,omitempty"`
	SlotRequest *dispatch.SlotRequest `cbor:"3,keyasint,omitempty"`
	Outcome     *dispatch.Outcome     `cbor:"4,keyasint,omitempty"`
	Grant       *Grant                `cbor:"5,keyasint,omitempty"`
	Refusal     *Refusal              `cbor:"6,keyasint,omitempty"`
	// Yield names the ticket whose slot is taken back.
	Yield dispatch.Ticket `cbor:"7,keyasint,omitempty"`
	Ping  bool            `cbor:"8,keyasint,omitempty"`
	// Wait names a ticket that waits for a slot.
	Queued dispatch.Ticket `cbor:"14,keyasint,omitempty"`
	// Hosts is how many hosts ask for slots, Relays the addresses of some that may pass a connection on.
	Hosts  int      `cbor:"11,keyasint,omitempty"`
	Relays []string `cbor:"15,keyasint,omitempty"`
	// Entries is how many of the hosts take callers.
	EntryHosts int `cbor:"18,keyasint,omitempty"`
	// Leaving tells that the host will soon take no callers.
	Leaving bool `cbor:"19,keyasint,omitempty"`
	// Who asks for the map of owners; it is answered with news.
	FetchOwners bool `cbor:"17,keyasint,omitempty"`
	// Via asks the receiver to pass the connection on to an address.
	ForwardTo string `cbor:"16,keyasint,omitempty"`
	// News are changes of the store's objects, Ages how long ago the store confirmed them.
	Update *Update                        `cbor:"12,keyasint,omitempty"`
	Ages   map[objects.Kind]time.Duration `cbor:"13,keyasint,omitempty"`
	// Jobs is a question on batch jobs, Reply its answer.
	Jobs  *JobsCall   `cbor:"9,keyasint,omitempty"`
	Reply *bulk.Reply `cbor:"10,keyasint,omitempty"`
	// Stall tells that nothing comes from the server of a ticket, or that something does again.
	Stall *dispatch.StallReport `cbor:"21,keyasint,omitempty"`
	// Drains names servers that said that they stop soon.
	DrainNotices []directory.DrainNotice `cbor:"20,keyasint,omitempty"`
}

// Hello is a host's first message.
type Hello struct {
	Host ids.HostID          `cbor:"1,keyasint"`
	Zone ids.ZoneID          `cbor:"2,keyasint"`
	Held []dispatch.HeldSlot `cbor:"3,keyasint,omitempty"`
	// Slots tells that the host asks for slots on this connection, now or until it says otherwise.
	RequestsSlots bool `cbor:"4,keyasint,omitempty"`
	// Standby tells that the host would rather ask the dispatching one, but can't reach it.
	ToStandby bool `cbor:"10,keyasint,omitempty"`
	// Address is where the host passes connections on, if it does.
	RelayAddress string `cbor:"5,keyasint,omitempty"`
	// Entry tells that the host takes callers, Leaving that it will soon take none.
	AcceptsCallers bool `cbor:"6,keyasint,omitempty"`
	Leaving        bool `cbor:"7,keyasint,omitempty"`
	// Entries is how many hosts take callers, as the host was told last.
	EntryHosts int `cbor:"8,keyasint,omitempty"`
	// Used is what the host was admitted a second lately, by workspace.
	AdmittedPerSecond map[ids.WorkspaceID]float64 `cbor:"9,keyasint,omitempty"`
	// Elsewhere is how many requests others admitted for the host lately, by workspace.
	AdmittedElsewhere map[ids.WorkspaceID]int `cbor:"11,keyasint,omitempty"`
	// Drains are the servers that the host knows to stop soon, by their own word.
	DrainNotices []directory.DrainNotice `cbor:"12,keyasint,omitempty"`
}

// Grant gives a ticket a server.
type Grant struct {
	Ticket dispatch.Ticket  `cbor:"1,keyasint"`
	Server directory.Server `cbor:"2,keyasint"`
	Waited time.Duration    `cbor:"3,keyasint,omitempty"`
	Inputs dispatch.Inputs  `cbor:"4,keyasint"`
}

// Refusal turns a ticket away.
type Refusal struct {
	Ticket     dispatch.Ticket `cbor:"1,keyasint"`
	Reason     dispatch.Reason `cbor:"2,keyasint"`
	RetryAfter time.Duration   `cbor:"3,keyasint,omitempty"`
	Inputs     dispatch.Inputs `cbor:"4,keyasint"`
}

// News are changes of the objects of a kind between two revisions, or all of them.
type Update struct {
	Kind         objects.Kind     `cbor:"1,keyasint"`
	FromRevision objects.Revision `cbor:"2,keyasint,omitempty"`
	Revision     objects.Revision `cbor:"3,keyasint"`
	Full         bool             `cbor:"4,keyasint,omitempty"`
	Objects      []objects.Object `cbor:"5,keyasint,omitempty"`
	Removed      []string         `cbor:"6,keyasint,omitempty"`
}

// JobsCall is a question on batch jobs to the owner of their shard.
type JobsCall struct {
	Shard bulk.Shard `cbor:"1,keyasint"`
	Call  bulk.Call  `cbor:"2,keyasint"`
}

// packAbove is the size from which a message is compressed: lists of servers shrink to a tenth.
const compressAbove = 16 << 10

// packed marks the length of a compressed message.
const compressedFlag = 1 << 31

// encoding keeps the fractions of a second of times, which the library's own choice drops: jobs are due to the millisecond.
var encMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// Encode returns a frame with its length before it. The bytes may be sent to many hosts.
func Encode(f Frame) (raw []byte, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("encode frame: %w", err)
		}
	}()
	body, err := encMode.Marshal(f)
	if err != nil {
		return nil, err
	}
	mark := uint32(0)
	if len(body) > compressAbove {
		if body, err = compress(body); err != nil {
			return nil, err
		}
		mark = compressedFlag
	}
	raw = make([]byte, 4, 4+len(body))
	binary.BigEndian.PutUint32(raw, uint32(len(body))|mark)
	return append(raw, body...), nil
}

func compress(body []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	err = w.Close()
	return b.Bytes(), err
}

func decompress(body []byte) (out []byte, err error) {
	r := flate.NewReader(bytes.NewReader(body))
	out, err = io.ReadAll(io.LimitReader(r, maxFrameSize+1))
	if err == nil && len(out) > maxFrameSize {
		err = errFrameTooLarge
	}
	return out, err
}

var errFrameTooLarge = errors.New("message is over the limit")

// decode reads one frame.
func decode(r io.Reader) (f Frame, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read frame: %w", err)
		}
	}()
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return f, err
	}
	mark := binary.BigEndian.Uint32(head[:])
	size := mark &^ compressedFlag
	if size > maxFrameSize {
		return f, errFrameTooLarge
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return f, err
	}
	if mark&compressedFlag != 0 {
		if body, err = decompress(body); err != nil {
			return f, err
		}
	}
	return f, cbor.Unmarshal(body, &f)
}
