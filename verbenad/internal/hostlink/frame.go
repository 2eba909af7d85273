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
const maxFrame = 16 << 20

// Frame is one message; the fields that are set say which.
type Frame struct {
	// Call pairs an answer with its question.
	Call    uint64                `cbor:"1,keyasint,omitempty"`
	Hello   *Hello                `cbor:"2,keyasint,omitempty"`
	Ask     *dispatch.SlotRequest `cbor:"3,keyasint,omitempty"`
	Outcome *dispatch.Outcome     `cbor:"4,keyasint,omitempty"`
	Grant   *Grant                `cbor:"5,keyasint,omitempty"`
	Refusal *Refusal              `cbor:"6,keyasint,omitempty"`
	// Yield names the ticket whose slot is taken back.
	Yield dispatch.Ticket `cbor:"7,keyasint,omitempty"`
	Ping  bool            `cbor:"8,keyasint,omitempty"`
	// Wait names a ticket that waits for a slot.
	Wait dispatch.Ticket `cbor:"14,keyasint,omitempty"`
	// Hosts is how many hosts ask for slots, Relays the addresses of some that may pass a connection on.
	Hosts  int      `cbor:"11,keyasint,omitempty"`
	Relays []string `cbor:"15,keyasint,omitempty"`
	// Entries is how many of the hosts take callers.
	Entries int `cbor:"18,keyasint,omitempty"`
	// Leaving tells that the host will soon take no callers.
	Leaving bool `cbor:"19,keyasint,omitempty"`
	// Who asks for the map of owners; it is answered with news.
	Who bool `cbor:"17,keyasint,omitempty"`
	// Via asks the receiver to pass the connection on to an address.
	Via string `cbor:"16,keyasint,omitempty"`
	// News are changes of the store's objects, Ages how long ago the store confirmed them.
	News *Update                        `cbor:"12,keyasint,omitempty"`
	Ages map[objects.Kind]time.Duration `cbor:"13,keyasint,omitempty"`
	// Jobs is a question on batch jobs, Reply its answer.
	Jobs  *JobsCall   `cbor:"9,keyasint,omitempty"`
	Reply *bulk.Reply `cbor:"10,keyasint,omitempty"`
	// Stall tells that nothing comes from the server of a ticket, or that something does again.
	Stall *dispatch.StallReport `cbor:"21,keyasint,omitempty"`
	// Drains names servers that said that they stop soon.
	Drains []directory.DrainNotice `cbor:"20,keyasint,omitempty"`
}

// Hello is a host's first message.
type Hello struct {
	Host ids.HostID          `cbor:"1,keyasint"`
	Zone ids.ZoneID          `cbor:"2,keyasint"`
	Held []dispatch.HeldSlot `cbor:"3,keyasint,omitempty"`
	// Slots tells that the host asks for slots on this connection, now or until it says otherwise.
	Slots bool `cbor:"4,keyasint,omitempty"`
	// Standby tells that the host would rather ask the dispatching one, but can't reach it.
	Standby bool `cbor:"10,keyasint,omitempty"`
	// Address is where the host passes connections on, if it does.
	Address string `cbor:"5,keyasint,omitempty"`
	// Entry tells that the host takes callers, Leaving that it will soon take none.
	Entry   bool `cbor:"6,keyasint,omitempty"`
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// Entries is how many hosts take callers, as the host was told last.
	Entries int `cbor:"8,keyasint,omitempty"`
	// Used is what the host was admitted a second lately, by workspace.
	Used map[ids.WorkspaceID]float64 `cbor:"9,keyasint,omitempty"`
	// Elsewhere is how many requests others admitted for the host lately, by workspace.
	Elsewhere map[ids.WorkspaceID]int `cbor:"11,keyasint,omitempty"`
	// Drains are the servers that the host knows to stop soon, by their own word.
	Drains []directory.DrainNotice `cbor:"12,keyasint,omitempty"`
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
	Ticket dispatch.Ticket `cbor:"1,keyasint"`
	Reason dispatch.Reason `cbor:"2,keyasint"`
	Later  time.Duration   `cbor:"3,keyasint,omitempty"`
	Inputs dispatch.Inputs `cbor:"4,keyasint"`
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
const packAbove = 16 << 10

// packed marks the length of a compressed message.
const packed = 1 << 31

// encoding keeps the fractions of a second of times, which the library's own choice drops: jobs are due to the millisecond.
var encoding = func() cbor.EncMode {
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
	body, err := encoding.Marshal(f)
	if err != nil {
		return nil, err
	}
	mark := uint32(0)
	if len(body) > packAbove {
		if body, err = pack(body); err != nil {
			return nil, err
		}
		mark = packed
	}
	raw = make([]byte, 4, 4+len(body))
	binary.BigEndian.PutUint32(raw, uint32(len(body))|mark)
	return append(raw, body...), nil
}

func pack(body []byte) ([]byte, error) {
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

func unpack(body []byte) (out []byte, err error) {
	r := flate.NewReader(bytes.NewReader(body))
	out, err = io.ReadAll(io.LimitReader(r, maxFrame+1))
	if err == nil && len(out) > maxFrame {
		err = errTooLong
	}
	return out, err
}

var errTooLong = errors.New("message is over the limit")

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
	size := mark &^ packed
	if size > maxFrame {
		return f, errTooLong
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return f, err
	}
	if mark&packed != 0 {
		if body, err = unpack(body); err != nil {
			return f, err
		}
	}
	return f, cbor.Unmarshal(body, &f)
}
