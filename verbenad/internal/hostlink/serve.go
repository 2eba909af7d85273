package hostlink

import (
	"context"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/ids"
)

// Dispatcher takes hosts that ask for slots.
type Dispatcher interface {
	HandleConnect(l *Link, h Hello)
	HandleDisconnect(l *Link, host ids.HostID)
	HandleFrame(l *Link, host ids.HostID, f Frame)
}

// JobsOwner answers questions on batch jobs.
type JobsOwner interface {
	Answer(ctx context.Context, q JobsCall) bulk.Reply
}

// Serve takes the messages of one connection until it ends, the first of which has been read.
func Serve(ctx context.Context, l *Link, first Frame, d Dispatcher, o JobsOwner) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	var hello Hello
	handle := func(f Frame) {
		switch {
		case f.Hello != nil:
			if hello.RequestsSlots && !f.Hello.RequestsSlots {
				d.HandleDisconnect(l, hello.Host)
			}
			hello = *f.Hello
			if hello.RequestsSlots {
				d.HandleConnect(l, hello)
			}
		case f.Jobs != nil:
			go func() {
				reply := o.Answer(ctx, *f.Jobs)
				_ = l.Send(Frame{CallID: f.CallID, Reply: &reply}) // the asker may be gone
			}()
		case hello.RequestsSlots:
			d.HandleFrame(l, hello.Host, f)
		case f.Ping:
			_ = l.Send(Frame{Ping: true}) // the asker may be gone
		}
	}
	handle(first)
	_ = l.Read(handle) // a connection that ends takes its questions with it
	if hello.RequestsSlots {
		d.HandleDisconnect(l, hello.Host)
	}
}
