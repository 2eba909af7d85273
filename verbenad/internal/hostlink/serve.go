package hostlink

import (
	"context"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/ids"
)

// Dispatcher handles hosts that request slots.
type Dispatcher interface {
	HandleConnect(l *Link, h Hello)
	HandleDisconnect(l *Link, host ids.HostID)
	HandleFrame(l *Link, host ids.HostID, f Frame)
}

// JobsOwner answers calls about batch jobs.
type JobsOwner interface {
	Answer(ctx context.Context, call JobsCall) bulk.Reply
}

// Serve handles the frames of a link until it ends. first is the frame that has already been read.
func Serve(ctx context.Context, l *Link, first Frame, dispatcher Dispatcher, owner JobsOwner) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	var hello Hello
	handle := func(f Frame) {
		switch {
		case f.Hello != nil:
			if hello.RequestsSlots && !f.Hello.RequestsSlots {
				dispatcher.HandleDisconnect(l, hello.Host)
			}
			hello = *f.Hello
			if hello.RequestsSlots {
				dispatcher.HandleConnect(l, hello)
			}
		case f.Jobs != nil:
			go func() {
				reply := owner.Answer(ctx, *f.Jobs)
				_ = l.Send(Frame{CallID: f.CallID, Reply: &reply}) // the calling host may be gone
			}()
		case hello.RequestsSlots:
			dispatcher.HandleFrame(l, hello.Host, f)
		case f.Ping:
			_ = l.Send(Frame{Ping: true}) // the other host may be gone
		}
	}
	handle(first)
	_ = l.Read(handle) // the end of the link cancels its calls
	if hello.RequestsSlots {
		dispatcher.HandleDisconnect(l, hello.Host)
	}
}
