package hostlink

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp/cmpopts"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/crash"
)

// TestFramesOfAnyTextAreDecoded guards against frames that the receiver can't read, which closes the connection between two
// hosts: whatever bytes the strings of a frame hold, it is decoded to what was encoded.
func TestFramesOfAnyTextAreDecoded(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 36))
		var f Frame
		fill(t, r, reflect.ValueOf(&f).Elem())
		raw, err := Encode(f)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("seed %d", seed))
		got, err := decode(bytes.NewReader(raw))
		qt.Assert(t, err, qt.IsNil, qt.Commentf("seed %d", seed))
		qt.Assert(t, got, qt.CmpEquals(cmpopts.IgnoreUnexported(crash.Report{})), f, qt.Commentf("seed %d", seed))
	}
}

// waitingOwner replies to calls on the job "waits" once release is closed, and to others at once.
type waitingOwner struct{ begun, release chan struct{} }

func (o waitingOwner) Answer(_ context.Context, call JobsCall) bulk.Reply {
	if call.Call.Job == "waits" {
		close(o.begun)
		<-o.release
	}
	return bulk.Reply{Code: bulk.Done}
}

// TestOneUnreadableCallLeavesTheOthers guards against a connection that ends with everybody's calls because the id in one of
// them holds bytes that are no UTF-8.
func TestOneUnreadableCallLeavesTheOthers(t *testing.T) {
	for _, unreadable := range []bulk.Call{{Op: bulk.ReadResults, Job: "\xff"}, {Op: bulk.ReadBody, Job: "j", Item: "\xff"}} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		owner := waitingOwner{begun: make(chan struct{}), release: make(chan struct{})}
		go func() {
			l := &listener{handle: func(l *Link, first Frame) { Serve(t.Context(), l, first, nil, owner) }}
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go l.serve(t.Context(), c)
			}
		}()
		client := NewRPCClient("h", func() []string { return nil })
		waited := make(chan error, 1)
		go func() {
			_, err := client.Call(t.Context(), ln.Addr().String(), JobsCall{Call: bulk.Call{Job: "waits", Wait: 10 * time.Second}})
			waited <- err
		}()
		<-owner.begun
		_, err = client.Call(t.Context(), ln.Addr().String(), JobsCall{Call: unreadable})
		qt.Check(t, err, qt.IsNil)
		close(owner.release)
		qt.Check(t, <-waited, qt.IsNil, qt.Commentf("the other call"))
		qt.Assert(t, ln.Close(), qt.IsNil)
	}
}

// fill sets everything that a frame carries below v: strings and bytes to arbitrary bytes, numbers to other values than 0.
func fill(t *testing.T, r *rand.Rand, v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		v.SetString(string(arbitraryBytes(r)))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(1 + r.Int64N(100))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(1 + r.Uint64N(100))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(1 + r.Float64())
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(t, r, v.Elem())
	case reflect.Array:
		for n := range v.Len() {
			fill(t, r, v.Index(n))
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			v.SetBytes(arbitraryBytes(r))
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), 1+r.IntN(3), 3))
		for n := range v.Len() {
			fill(t, r, v.Index(n))
		}
	case reflect.Map:
		fillMap(t, r, v)
	case reflect.Struct:
		fillStruct(t, r, v)
	default:
		t.Fatalf("kind %s isn't filled", v.Kind())
	}
}

func fillMap(t *testing.T, r *rand.Rand, v reflect.Value) {
	v.Set(reflect.MakeMap(v.Type()))
	for range 1 + r.IntN(3) {
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(t, r, key)
		fill(t, r, value)
		v.SetMapIndex(key, value)
	}
}

func fillStruct(t *testing.T, r *rand.Rand, v reflect.Value) {
	if v.Type() == reflect.TypeFor[time.Time]() {
		v.Set(reflect.ValueOf(time.Unix(1000+r.Int64N(1000), r.Int64N(int64(time.Second)))))
		return
	}
	for n := range v.NumField() {
		if f := v.Type().Field(n); f.IsExported() && f.Tag.Get("cbor") != "-" {
			fill(t, r, v.Field(n))
		}
	}
}

// arbitraryBytes returns one to eight bytes, half of them no ASCII.
func arbitraryBytes(r *rand.Rand) []byte {
	b := make([]byte, 1+r.IntN(8))
	for n := range b {
		b[n] = byte(r.Uint32())
	}
	return b
}
