package bulk

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbenad/internal/cutserver"
)

// closed returns an answer whose end only the orderly end of its connection shows.
func (c *cutItems) closed(body string) cutserver.Answer {
	return cutserver.Answer{Raw: "HTTP/1.1 200 OK\r\nServer: s\r\nConnection: close\r\n\r\n" + body, Ending: cutserver.Close}
}

// TestTwoCutAnswersCompleteAnItem guards against an item that ends with a part of its output because two servers in a row broke
// off their answers by an orderly end, the second one before a further event.
func TestTwoCutAnswersCompleteAnItem(t *testing.T) {
	c := newCutItems(t)
	i := c.newRun()
	qt.Assert(t, c.send(i, c.closed(firstEvent)), qt.Equals, itemUnconfirmed)
	qt.Assert(t, c.send(i, c.closed("")), qt.Equals, itemUnconfirmed)
	qt.Assert(t, c.send(i, c.whole(otherEvents)), qt.Equals, itemComplete)
	qt.Assert(t, string(i.output), qt.Equals, cutOutput)
}

// TestItemOfServersWithoutFramingEnds checks that an item ends whose servers show the end of an answer by nothing else, and that
// one answer whose framing shows that there is no more suffices.
func TestItemOfServersWithoutFramingEnds(t *testing.T) {
	c := newCutItems(t)
	i := c.newRun()
	qt.Assert(t, c.send(i, c.closed(firstEvent+otherEvents)), qt.Equals, itemUnconfirmed)
	qt.Assert(t, c.send(i, c.closed("")), qt.Equals, itemUnconfirmed)
	qt.Assert(t, i.exclude, qt.HasLen, 2, qt.Commentf("a third server is asked"))
	qt.Assert(t, c.send(i, c.closed("")), qt.Equals, itemComplete)
	qt.Assert(t, string(i.output), qt.Equals, cutOutput)

	i = c.newRun()
	qt.Assert(t, c.send(i, c.closed(firstEvent+otherEvents)), qt.Equals, itemUnconfirmed)
	qt.Assert(t, c.send(i, c.whole("")), qt.Equals, itemComplete)
	qt.Assert(t, string(i.output), qt.Equals, cutOutput)
}

// TestItemOfTwoServersWithoutFramingEnds checks that an item ends if there are no three servers to ask, and only after three
// answers without a further event.
func TestItemOfTwoServersWithoutFramingEnds(t *testing.T) {
	for _, servers := range []int{1, 2} {
		c := newCutItems(t)
		i := c.newRun()
		qt.Assert(t, c.send(i, c.closed(firstEvent+otherEvents)), qt.Equals, itemUnconfirmed)
		for range 2 {
			c.sends %= servers
			qt.Assert(t, c.send(i, c.closed("")), qt.Equals, itemUnconfirmed)
		}
		c.sends %= servers
		qt.Assert(t, c.send(i, c.closed("")), qt.Equals, itemComplete)
		qt.Assert(t, string(i.output), qt.Equals, cutOutput)
	}
}

// TestItemCutAndTakenUpNeverEnds guards against an item that begins again for good because one of its answers was cut before its
// end, and no server shows an end by its framing.
func TestItemCutAndTakenUpNeverEnds(t *testing.T) {
	c := newCutItems(t)
	i := c.newRun()
	qt.Assert(t, c.send(i, c.closed(firstEvent)), qt.Equals, itemUnconfirmed)
	qt.Assert(t, c.send(i, c.closed(otherEvents)), qt.Equals, itemUnconfirmed)
	qt.Assert(t, c.send(i, c.closed("")), qt.Equals, itemUnconfirmed)
	qt.Assert(t, c.send(i, c.closed("")), qt.Equals, itemComplete)
	qt.Assert(t, string(i.output), qt.Equals, cutOutput)
}
