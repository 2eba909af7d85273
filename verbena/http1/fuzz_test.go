package http1

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/net/http/httpguts"
)

// FuzzHeadCheck checks that a head is judged alike however it arrives, and that net/http reads nothing else of an accepted one than
// fields with valid names and the same status code.
func FuzzHeadCheck(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 000 X\r\n\r\n",
		"HTTP/1.0 200\nTransfer-Encoding: chunked\n\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nabc",
		"HTTP/1.1 599 \xfc\t\r\nA: b\r\n c: d\r\n\r\n",
		"HTTP/1.1  299 OK\r\nx!#$%&'*+-.^_`|~09: \xfc\r\nA:\r\n\r\n",
		"HTTP/1.1 200 O\rK\r\n\r\r\n\r\n",
	} {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, head []byte) {
		var whole, parts HeadCheck
		ended, err := whole.Next(head)
		partsEnded, partsErr := false, error(nil)
		for n := 0; n <= len(head) && !partsEnded && partsErr == nil; n++ {
			partsEnded, partsErr = parts.Next(head[:n])
		}
		qt.Assert(t, partsEnded, qt.Equals, ended)
		qt.Assert(t, partsErr == nil, qt.Equals, err == nil)
		if !ended {
			return
		}
		qt.Assert(t, parts, qt.Equals, whole)
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil)
		if err != nil {
			return // net/http checks lengths and transfer encodings, too
		}
		defer func() { _ = response.Body.Close() }() // it is in memory
		qt.Assert(t, response.StatusCode, qt.Equals, whole.Status())
		qt.Assert(t, response.StatusCode >= 100 && response.StatusCode < 600, qt.IsTrue)
		for name, values := range response.Header {
			qt.Assert(t, httpguts.ValidHeaderFieldName(name), qt.IsTrue, qt.Commentf("%q", name))
			for _, v := range values {
				qt.Assert(t, bytes.Contains(head, []byte(v)), qt.IsTrue, qt.Commentf("%q", v))
			}
		}
	})
}
