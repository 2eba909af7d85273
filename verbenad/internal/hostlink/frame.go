// Package hostlink carries messages between hosts, as length-prefixed CBOR frames over TCP.
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
	"verbenaledge.example/verbena/crash"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/limit"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbena/origin"
)

// maxFrameSize bounds a frame. The largest ones hold a batch job with its bodies.
const maxFrameSize = 16 << 20

// Frame is one message. The fields that are set determine its kind.
type Frame struct {
	// CallID pairs a Reply with its call.
	CallID      uint64                `cbor:"1,keyasint,omitempty"`
	Hello       *Hello                `cbor:"2,keyasint,omitempty"`
	SlotRequest *dispatch.SlotRequest `cbor:"3,keyasint,omitempty"`
	Outcome     *dispatch.Outcome     `cbor:"4,keyasint,omitempty"`
	Grant       *Grant                `cbor:"5,keyasint,omitempty"`
	Refusal     *Refusal              `cbor:"6,keyasint,omitempty"`
	// Yield is the ticket whose slot is taken back.
	Yield dispatch.Ticket `cbor:"7,keyasint,omitempty"`
	Ping  bool            `cbor:"8,keyasint,omitempty"`
	// Queued is a ticket that waits for a slot.
	Queued dispatch.Ticket `cbor:"14,keyasint,omitempty"`
	// Hosts is how many hosts request slots, Relays the addresses of some that may relay a connection.
	Hosts  int      `cbor:"11,keyasint,omitempty"`
	Relays []string `cbor:"15,keyasint,omitempty"`
	// EntryHosts is how many of the hosts accept callers.
	EntryHosts int `cbor:"18,keyasint,omitempty"`
	// Leaving is set when the host will soon accept no callers.
	Leaving bool `cbor:"19,keyasint,omitempty"`
	// FetchOwners requests the map of owners, which is sent as an Update.
	FetchOwners bool `cbor:"17,keyasint,omitempty"`
	// ForwardTo asks the receiver to relay the connection to an address.
	ForwardTo string `cbor:"16,keyasint,omitempty"`
	// Update holds changes of the store's objects, Ages how long ago the store confirmed the objects of each kind.
	Update *Update                        `cbor:"12,keyasint,omitempty"`
	Ages   map[objects.Kind]time.Duration `cbor:"13,keyasint,omitempty"`
	// Jobs is a call about batch jobs, Reply its result.
	Jobs  *JobsCall   `cbor:"9,keyasint,omitempty"`
	Reply *bulk.Reply `cbor:"10,keyasint,omitempty"`
	// Stall reports that nothing comes from the server of a ticket, or that data comes again.
	Stall *dispatch.StallReport `cbor:"21,keyasint,omitempty"`
	// DrainNotices are about servers that announced that they stop soon.
	DrainNotices []directory.DrainNotice `cbor:"20,keyasint,omitempty"`
	// AnswerBegan is the ticket of a trial whose server has begun to answer.
	AnswerBegan dispatch.Ticket `cbor:"22,keyasint,omitempty"`
	// CrashReports replace those that the receiver knows.
	CrashReports *CrashReports `cbor:"23,keyasint,omitempty"`
	// Streams are the origins of streams, from hosts to the dispatcher and from the dispatcher to its standby.
	Streams []origin.Record `cbor:"24,keyasint,omitempty"`
	// Versions is the dispatcher's history of versions, for its standby.
	Versions *origin.History `cbor:"25,keyasint,omitempty"`
	// Limit reports what an answer says of its server's limit.
	Limit *dispatch.LimitReport `cbor:"26,keyasint,omitempty"`
	// Limits are limits of servers that have changed, from the dispatcher to all hosts.
	Limits []dispatch.ServerLimit `cbor:"27,keyasint,omitempty"`
	// HostRank is the receiver's place among the EntryHosts, counted from 1; 0 means that it accepts no callers.
	HostRank int `cbor:"28,keyasint,omitempty"`
	// ServerConnect is the first frame of a connection to a backend server, ServerConnectReply its reply.
	ServerConnect      *ServerConnect      `cbor:"29,keyasint,omitempty"`
	ServerConnectReply *ServerConnectReply `cbor:"30,keyasint,omitempty"`
	// CutOff reports whether the sender reaches backend servers directly.
	CutOff *CutOff `cbor:"31,keyasint,omitempty"`
}

// CutOff reports whether a host reaches no backend server directly, although other hosts do.
type CutOff struct {
	CutOff bool `cbor:"1,keyasint"`
}

// CrashReports are the crashes of servers that may be due to prompt parts.
type CrashReports struct {
	Reports []crash.Report `cbor:"1,keyasint,omitempty"`
}

// Hello introduces a host on a connection. A host may repeat it with other contents.
type Hello struct {
	Host ids.HostID          `cbor:"1,keyasint"`
	Zone ids.ZoneID          `cbor:"2,keyasint"`
	Held []dispatch.HeldSlot `cbor:"3,keyasint,omitempty"`
	// RequestsSlots is set if the host requests slots on this connection, until its next Hello.
	RequestsSlots bool `cbor:"4,keyasint,omitempty"`
	// ToStandby is set if the receiver is addressed as the dispatcher's standby.
	ToStandby bool `cbor:"10,keyasint,omitempty"`
	// RelayAddress is where the host relays connections; empty if it doesn't.
	RelayAddress string `cbor:"5,keyasint,omitempty"`
	// AcceptsCallers is set if the host accepts callers, Leaving if it will soon accept none.
	AcceptsCallers bool `cbor:"6,keyasint,omitempty"`
	Leaving        bool `cbor:"7,keyasint,omitempty"`
	// EntryHosts is how many hosts accept callers, as the host last received it.
	EntryHosts int `cbor:"8,keyasint,omitempty"`
	// AdmittedPerSecond is the host's recent rate of admitted requests by workspace.
	AdmittedPerSecond map[ids.WorkspaceID]float64 `cbor:"9,keyasint,omitempty"`
	// AdmittedElsewhere is how many requests others recently admitted for the host, by workspace.
	AdmittedElsewhere map[ids.WorkspaceID]int `cbor:"11,keyasint,omitempty"`
	// DrainNotices are about servers that announced that they stop soon.
	DrainNotices []directory.DrainNotice `cbor:"12,keyasint,omitempty"`
	// CrashReports are the crash reports that the host knows.
	CrashReports []crash.Report `cbor:"13,keyasint,omitempty"`
	// Streams are the origins of the streams that the host forwards, or forwarded a short time ago.
	Streams []origin.Record `cbor:"14,keyasint,omitempty"`
	// Limits are the limits of servers that the host knows.
	Limits []dispatch.ServerLimit `cbor:"15,keyasint,omitempty"`
	// CutOff is set if the host reaches no backend server directly.
	CutOff bool `cbor:"16,keyasint,omitempty"`
}

// Grant assigns a server to a ticket.
type Grant struct {
	Ticket dispatch.Ticket  `cbor:"1,keyasint"`
	Server directory.Server `cbor:"2,keyasint"`
	Waited time.Duration    `cbor:"3,keyasint,omitempty"`
	Inputs dispatch.Inputs  `cbor:"4,keyasint"`
	// Trial is set if the host must report when the answer begins.
	Trial bool `cbor:"5,keyasint,omitempty"`
	// Resumption is set for a resumed stream.
	Resumption *dispatch.ResumptionInputs `cbor:"6,keyasint,omitempty"`
	// VersionUncertain is set if the server may run as another software version than its entry says.
	VersionUncertain bool `cbor:"7,keyasint,omitempty"`
	// Limit is the server's limit, as far as the placer knows it; nil stands for none.
	Limit *limit.Statement `cbor:"8,keyasint,omitempty"`
}

// Refusal refuses a slot to a ticket.
type Refusal struct {
	Ticket     dispatch.Ticket `cbor:"1,keyasint"`
	Reason     dispatch.Reason `cbor:"2,keyasint"`
	RetryAfter time.Duration   `cbor:"3,keyasint,omitempty"`
	Inputs     dispatch.Inputs `cbor:"4,keyasint"`
	// Parts are the prompt parts that may crash servers, Crashes is how often they did.
	Parts   []ids.PromptPartID `cbor:"5,keyasint,omitempty"`
	Crashes int                `cbor:"6,keyasint,omitempty"`
	// Resumption is set for a resumed stream.
	Resumption *dispatch.ResumptionInputs `cbor:"7,keyasint,omitempty"`
}

// Update holds the changes of a kind's objects between two revisions, or all of its objects if Full is set.
type Update struct {
	Kind         objects.Kind     `cbor:"1,keyasint"`
	FromRevision objects.Revision `cbor:"2,keyasint,omitempty"`
	Revision     objects.Revision `cbor:"3,keyasint"`
	Full         bool             `cbor:"4,keyasint,omitempty"`
	Objects      []objects.Object `cbor:"5,keyasint,omitempty"`
	Removed      []string         `cbor:"6,keyasint,omitempty"`
}

// JobsCall is a call about batch jobs to the owner of their shard.
type JobsCall struct {
	Shard bulk.Shard `cbor:"1,keyasint"`
	Call  bulk.Call  `cbor:"2,keyasint"`
}

// compressAbove is the size in bytes above which a frame is compressed; lists of servers shrink to a tenth.
const compressAbove = 16 << 10

// compressedFlag marks the length of a compressed frame.
const compressedFlag = 1 << 31

// encMode keeps fractions of seconds, which the library drops by default: due times of jobs have milliseconds.
var encMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// decMode accepts text that is no UTF-8: a string from outside that a host didn't check must not end the connection, and with
// it the requests of all callers. Former releases don't accept it, so what is encoded should be valid.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// Encode returns a frame with its length prefix. The bytes may be sent to many hosts.
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
	flag := uint32(0)
	if len(body) > compressAbove {
		if body, err = compress(body); err != nil {
			return nil, err
		}
		flag = compressedFlag
	}
	raw = make([]byte, 4, 4+len(body))
	binary.BigEndian.PutUint32(raw, uint32(len(body))|flag)
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

func decompress(body []byte, reserve reservation) (out []byte, err error) {
	out, err = readAsArrives(flate.NewReader(bytes.NewReader(body)), maxFrameSize+1, reserve)
	switch {
	case errors.Is(err, io.EOF):
		return out, nil
	case err == nil:
		return nil, errFrameTooLarge
	}
	return nil, err
}

var errFrameTooLarge = errors.New("frame exceeds the size limit")

// decode reads one frame.
func decode(r io.Reader) (f Frame, err error) {
	return decodeWithin(r, func(int) error { return nil })
}

// decodeWithin reads one frame, and reserves memory for it as it arrives.
func decodeWithin(r io.Reader, reserve reservation) (f Frame, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read frame: %w", err)
		}
	}()
	var prefix [4]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return f, err
	}
	header := binary.BigEndian.Uint32(prefix[:])
	size := header &^ compressedFlag
	if size > maxFrameSize {
		return f, errFrameTooLarge
	}
	body, err := readAsArrives(r, int(size), reserve)
	if err != nil {
		return f, noEOF(err)
	}
	if header&compressedFlag != 0 {
		if body, err = decompress(body, reserve); err != nil {
			return f, err
		}
	}
	return f, decMode.Unmarshal(body, &f)
}
