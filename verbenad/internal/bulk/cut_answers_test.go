package bulk

import (
	"fmt"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenad/internal/cutserver"
	"verbenaledge.example/verbenad/internal/slots"
)

const (
	firstEvent  = "id: 1\ndata: a\n\n"
	otherEvents = "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	cutOutput   = "a\nb\nc"
)

// cutItems sends items to a server that cuts its answers.
type cutItems struct {
	*testing.T
	template *itemRun
	server   *cutserver.Server
	shapes   []cutserver.Shape
	sends    int
}

func newCutItems(t *testing.T) *cutItems {
	log.SetHandler(discard.Default)
	c := &cutItems{T: t, template: newItemRun(t)}
	var err error
	c.shapes, err = cutserver.Shapes()
	qt.Assert(t, err, qt.IsNil)
	c.server, err = cutserver.Start()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { qt.Check(t, c.server.Close(), qt.IsNil) })
	return c
}

// newRun returns a run of the template's item that has no output.
func (c *cutItems) newRun() *itemRun {
	return &itemRun{owner: c.template.owner, record: c.template.record, item: c.template.item, route: c.template.route}
}

// send sends an item to a server under a new id, which answers as given.
func (c *cutItems) send(i *itemRun, a cutserver.Answer) sendResult {
	c.sends++
	c.server.SetAnswers(a)
	server := directory.Server{
		ID: ids.BackendID(fmt.Sprint("s", c.sends)), Service: "llm", SoftwareVersion: "1", Incarnation: 1, Address: c.server.Address(),
	}
	result := i.sendTo(c.T, &slots.Slot{Server: server, Yielded: make(chan struct{})})
	i.owner.client.CloseUnused(0, func(ids.BackendID) bool { return false })
	return result
}

// eachCut calls a function with each part of an answer in each shape, and each way in which the connection can end after it.
// ended is set if the part is the whole answer, or if the server claims that it is.
func (c *cutItems) eachCut(status, body string, f func(a cutserver.Answer, ended bool, comment qt.Comment)) {
	for _, s := range c.shapes {
		raw, headBytes := s.Response(status, []string{"Server: s"}, body)
		endings := []cutserver.Ending{cutserver.Close, cutserver.Reset}
		if s.EndsWithConnection() {
			endings = append(endings, cutserver.CloseThenReset)
		}
		for _, e := range endings {
			for n := range len(raw) + 1 {
				claimed := s.EndsWithConnection() && e != cutserver.Reset && n >= headBytes
				f(cutserver.Answer{Raw: raw[:n], Ending: e}, claimed || n == len(raw), qt.Commentf("%s, %s after %d of %d bytes", s.Name, e, n, len(raw)))
			}
		}
	}
}

// whole returns a whole answer with a length.
func (c *cutItems) whole(body string) cutserver.Answer {
	raw := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return cutserver.Answer{Raw: raw}
}

// TestCutAnswersCompleteAnItem cuts the answer to an item at each byte, in each form of HTTP/1.x: the first one, and one that
// resumes the output. Only a whole answer completes the item.
func TestCutAnswersCompleteAnItem(t *testing.T) {
	c := newCutItems(t)
	check := func(i *itemRun, result sendResult, comment qt.Comment) {
		complete := result == itemComplete
		qt.Check(t, !complete || string(i.output) == cutOutput, qt.IsTrue, comment)
		qt.Check(t, result, qt.Not(qt.Equals), itemErrored, comment)
		if complete {
			return
		}
		// Another server completes it.
		rest := (firstEvent + otherEvents)[i.events*len(firstEvent):]
		if i.events == 3 {
			result = c.send(i, c.whole(""))
		} else {
			result = c.send(i, c.whole(rest))
		}
		qt.Check(t, result, qt.Equals, itemComplete, comment)
		qt.Check(t, string(i.output), qt.Equals, cutOutput, comment)
	}
	c.eachCut("200 OK", firstEvent+otherEvents, func(a cutserver.Answer, _ bool, comment qt.Comment) {
		i := c.newRun()
		check(i, c.send(i, a), comment)
	})
	c.eachCut("200 OK", otherEvents, func(a cutserver.Answer, _ bool, comment qt.Comment) {
		i := c.newRun()
		begun := c.whole(firstEvent + otherEvents)
		begun.Raw = begun.Raw[:len(begun.Raw)-len(otherEvents)+2]
		qt.Assert(t, c.send(i, begun), qt.Equals, itemRetry)
		qt.Assert(t, i.events, qt.Equals, 1)
		check(i, c.send(i, a), comment)
	})
}

// TestCutAnswersErrorAnItem cuts a server's answer that an item can't be done, and its failure. An answer that is cut doesn't
// count.
func TestCutAnswersErrorAnItem(t *testing.T) {
	c := newCutItems(t)
	const body = "why"
	for status, counts := range map[string]func(i *itemRun, result sendResult) bool{
		"422 X": func(_ *itemRun, result sendResult) bool { return result == itemErrored },
		"500 X": func(i *itemRun, _ sendResult) bool { return i.failures > 0 },
	} {
		c.eachCut(status, body, func(a cutserver.Answer, ended bool, comment qt.Comment) {
			i := c.newRun()
			counted := counts(i, c.send(i, a))
			qt.Check(t, counted && !ended, qt.IsFalse, comment)
		})
	}
}
