package upstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/completion"
)

// inChunks returns a body in chunks of at most size bytes, with the last chunk.
func inChunks(body string, size int) string {
	var b strings.Builder
	for n := 0; n < len(body); n += size {
		part := body[n:min(n+size, len(body))]
		_, _ = fmt.Fprintf(&b, "%x\r\n%s\r\n", len(part), part)
	}
	return b.String() + "0\r\n\r\n"
}

// reusedResponse returns a response with the given rest of its head and its body, on a connection that carried another one.
func reusedResponse(t *testing.T, rest string) *Response {
	s := server(t, func(_ int, r *bufio.Reader, c net.Conn) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, responseText("earlier", "first"))
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: b\r\n"+rest)
	})
	client := NewClient(clock.System{})
	_, err := send(t, client, request(s, "earlier", nil))
	qt.Assert(t, err, qt.IsNil)
	response, err := client.Send(t.Context(), testProtocol{}, request(s, "b", nil))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.conn.reused, qt.IsTrue)
	return response
}

// soundTexts speak of HTTP and hold no response.
var soundTexts = map[string]string{
	"log line in JSON":      `{"log":"GET / HTTP/1.1 200 OK","next":"HTTP/1.1 404 Not Found\r\nContent-Type: text/plain"}`,
	"status line ends JSON": `{"text":"the server says HTTP/1.1 200 OK"}`,
	"log":                   strings.Repeat("10:00:01 GET /index HTTP/1.1 200 OK 0.3s\n", 2000),
	"code block":            "# Heads\r\n```\r\nHTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 5\r\n\r\nhello\r\n```\r\nDone.\r\n",
	"code block, no body":   "```http\r\nHTTP/1.1 301 Moved Permanently\r\nLocation: /new\r\n```\r\nThe end.",
	"code block, LF":        "```\nHTTP/1.1 200 OK\nContent-Type: text/html\n\nhello\n```\n",
	"status line, LF":       "The last line is\nHTTP/1.1 200 OK\n",
	"prose after the line":  "HTTP/1.1 200 OK\r\nmeans that all went well",
	"markup":                "<code>HTTP/1.1 503 Service Unavailable</code>",
	"more than three":       "HTTP/1.1 2000 requests",
}

// TestSoundTextOnReusedConnection guards against taking text that speaks of HTTP for another response.
func TestSoundTextOnReusedConnection(t *testing.T) {
	for name, text := range soundTexts {
		for framing, rest := range map[string]string{
			"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text),
			"chunks": "Transfer-Encoding: chunked\r\n\r\n" + inChunks(text, 4000),
			"bytes":  "Transfer-Encoding: chunked\r\n\r\n" + inChunks(text, 13),
		} {
			t.Run(name+"/"+framing, func(t *testing.T) {
				response := reusedResponse(t, rest)
				defer response.Close()
				body, err := readBody(response)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, string(body), qt.Equals, text)
				qt.Assert(t, response.HasEmbeddedResponse(body), qt.IsFalse)
			})
			t.Run(name+"/"+framing+"/rest", func(t *testing.T) {
				response := reusedResponse(t, rest)
				defer response.Close()
				body, err := readBody(response.Rest(nil))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, string(body), qt.Equals, text)
			})
		}
	}
}

// TestSoundEventsOnReusedConnection guards against taking events that speak of HTTP for another response.
func TestSoundEventsOnReusedConnection(t *testing.T) {
	for _, events := range []string{
		"id: 1\ndata: HTTP/1.1 200 OK\n\nid: 2\ndata: HTTP/1.1 404 Not Found\ndata: Content-Type: text/plain\ndata:\n\n",
		"id: 1\r\ndata: HTTP/1.1 200 OK\r\n\r\nid: 2\r\ndata: HTTP/1.1 200 OK\r\ndata: Id: other\r\n\r\n",
		"data: {\"text\":\"HTTP/1.1 200 OK\\r\\nId: other\\r\\n\\r\\n\"}\n\n",
		"data: HTTP/1.1 \n\ndata: 200 OK\n\n",
		"data: HTTP/1.1 100 Continue\n\n",
	} {
		for _, rest := range []string{
			fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(events), events),
			"Transfer-Encoding: chunked\r\n\r\n" + inChunks(events, 7),
		} {
			response := reusedResponse(t, rest)
			var got bytes.Buffer
			for reader := NewEventReader(response); ; {
				part, end := reader.Next()
				if end != nil {
					qt.Assert(t, end, qt.Equals, completion.End(completion.Whole{}))
					break
				}
				qt.Assert(t, response.HasEmbeddedResponse(part), qt.IsFalse, qt.Commentf("%q", part))
				got.Write(part)
			}
			qt.Assert(t, got.String(), qt.Equals, events)
			response.Close()
		}
	}
}

// lateCopies are heads of late copies, some of which have no id.
var lateCopies = []string{
	responseText("earlier", "first"),
	"HTTP/1.1 200 \r\nContent-Type: text/plain\r\nId: earlier\r\n\r\n",
	"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n",
	"HTTP/1.1 200 OK\nId: earlier\n\nfirst",
	"HTTP/1.1 200 OK\r\nLong: a\r\n b\r\nId: earlier\r\n\r\n",
}

// TestLateCopyAmongText guards against a late copy that isn't found among text that speaks of HTTP: complete, within the
// body, or cut off at any byte by the body's length.
func TestLateCopyAmongText(t *testing.T) {
	for _, text := range []string{
		"half", "data: ha", soundTexts["log"][:90], soundTexts["code block"], `{"log":"HTTP/1.1 200 OK`, "HTTP/1.1 ", "HTTP/1.1 200 OK\r\nX: ",
	} {
		for _, late := range lateCopies {
			for _, after := range []string{"", "the other half", "\r\n\r\n", "data: 2\n\n"} {
				body := text + late + after
				response := reusedResponse(t, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
				qt.Assert(t, response.HasEmbeddedResponse([]byte(body)), qt.IsTrue, qt.Commentf("%q", body))
				rest, err := readBody(response.Rest(nil))
				qt.Assert(t, err, qt.ErrorIs, ErrRequestIDMismatch, qt.Commentf("%q", body))
				qt.Assert(t, len(rest) <= len(text), qt.IsTrue, qt.Commentf("%q of %q", rest, body))
				response.Close()
			}
			if strings.Contains(late, "\r\n") {
				cutAnywhere(t, text, late)
			}
		}
	}
}

// cutAnywhere checks that a copy is found wherever the body's length cuts off its head.
func cutAnywhere(t *testing.T, text, late string) {
	response := reusedResponse(t, "Content-Length: 9\r\n\r\n123456789")
	defer response.Close()
	for length := len(statusLinePrefix); length < strings.Index(late, "\r\n\r\n"); length++ {
		body := text + late[:length]
		qt.Assert(t, response.HasEmbeddedResponse([]byte(body)), qt.IsTrue, qt.Commentf("%q", body))
	}
}

// TestLateCopyEndsChunk guards against a late copy whose head ends a chunk of this response: its own chunks follow, so that
// the framing is sound.
func TestLateCopyEndsChunk(t *testing.T) {
	const begun, late = "half", "HTTP/1.1 200 OK\r\nId: earlier\r\nTransfer-Encoding: chunked\r\n"
	for _, answer := range []string{"first", "data: 1\n\n", "a: b\r\n"} {
		response := reusedResponse(t, fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(begun+late), begun+late)+inChunks(answer, 99))
		body, err := readBody(response)
		qt.Assert(t, err, qt.IsNil) // the framing shows nothing
		qt.Assert(t, string(body), qt.Equals, begun+late+answer)
		qt.Assert(t, response.HasEmbeddedResponse(body), qt.IsTrue)
		response.Close()
	}
}

// TestLateCopyWithinChunk guards against a part of a late copy that is passed on before it breaks the framing in chunks.
func TestLateCopyWithinChunk(t *testing.T) {
	const begun = "half"
	for _, late := range lateCopies[:3] {
		for within := range len(late) {
			response := reusedResponse(t, fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s", len(begun)+within, begun+late))
			body, err := readBody(response.Rest(nil))
			qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%d of %q", within, late))
			// Less than the beginning of a status line is text.
			qt.Assert(t, len(body) < len(begun)+len(statusLinePrefix), qt.IsTrue, qt.Commentf("%q", body))
			response.Close()
		}
	}
}

// TestLateCopyByteByByte guards against a part of a late copy that is passed on because it arrives in parts.
func TestLateCopyByteByByte(t *testing.T) {
	response := reusedResponse(t, "Content-Length: 1\r\n\r\nx")
	defer response.Close()
	for _, text := range []string{"half", soundTexts["code block"]} {
		for _, late := range lateCopies {
			first, lineFeeds := len(statusLinePrefix), strings.Contains(late, "OK\n")
			if lineFeeds {
				first = len(late) // a cut-off head whose lines end with LF is text
			}
			for length := first; length <= len(late); length++ {
				body := text + late[:length]
				response.httpResponse.Body = io.NopCloser(iotest.OneByteReader(strings.NewReader(body)))
				rest, err := readBody(response.Rest(nil))
				qt.Assert(t, err, qt.ErrorIs, ErrRequestIDMismatch, qt.Commentf("%q", body))
				qt.Assert(t, lineFeeds || len(rest) < len(text)+len(statusLinePrefix), qt.IsTrue, qt.Commentf("%q of %q", rest, body))
			}
		}
	}
}

// TestTextLikeLateCopy checks that text that can't be told from a late copy is taken for one, as its caller is to get no other
// request's answer.
func TestTextLikeLateCopy(t *testing.T) {
	for _, text := range []string{
		"the server says HTTP/1.1 200 OK",
		"```\r\nHTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n",
		"```\r\nHTTP/1.1 100 Continue\r\n\r\n```\r\n",
		"```\r\nHTTP/1.1 200 OK\r\nId: other\r\n```\r\n",
		"```\nHTTP/1.1 200 OK\nId: other\n\n```\n",
	} {
		response := reusedResponse(t, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text))
		qt.Assert(t, response.HasEmbeddedResponse([]byte(text)), qt.IsTrue, qt.Commentf("%q", text))
		_, err := readBody(response.Rest(nil))
		qt.Assert(t, err, qt.ErrorIs, ErrRequestIDMismatch)
		response.Close()
	}
}

// TestHeadsWithinHeads guards against a search that takes the square of a body's length.
func TestHeadsWithinHeads(t *testing.T) {
	response := reusedResponse(t, "Transfer-Encoding: chunked\r\n\r\n"+inChunks("x", 1))
	defer response.Close()
	for _, part := range []string{"HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 200 OK\nX: ", "HTTP/1.1 200 ", "HTTP/1.1 200 OK\n"} {
		start := time.Now()
		body := strings.Repeat(part, 512<<10/len(part))
		qt.Assert(t, response.HasEmbeddedResponse([]byte(body)), qt.IsFalse)
		qt.Assert(t, response.HasEmbeddedResponse([]byte(body+"\r\n"+lateCopies[0])), qt.IsTrue)
		qt.Assert(t, time.Since(start) < 5*time.Second, qt.IsTrue, qt.Commentf("%q: %s", part, time.Since(start)))
	}
}
