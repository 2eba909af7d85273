package upstream

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"verbenaledge.example/verbena/exchange"
	"verbenaledge.example/verbena/http1"
)

const (
	// maxLateAnswers bounds the late answers that are discarded before the answer to a request.
	maxLateAnswers = 4
	// maxLateAnswerBytes bounds the body of a late answer that is discarded.
	maxLateAnswerBytes = 1 << 20
	// lateAnswerTime bounds the time to read one. A server has it as a whole; only a broken one is waited for.
	lateAnswerTime = 200 * time.Millisecond
)

// readAnswer reads the head of the answer to a request. Late answers to earlier requests on the connection come before it and are
// discarded.
func (c *Client) readAnswer(p exchange.Protocol, r Request, conn *conn) (answer *http.Response, info exchange.ResponseInfo, err error) {
	for late := 0; ; late++ {
		answer, err = conn.readResponse(r.Method, func(head *http.Response) { c.headArrived(p, r, head) })
		if err != nil {
			return nil, info, fmt.Errorf("read response of %s: %w", r.Server.Address, err)
		}
		info = p.ParseResponse(answer.StatusCode, answer.Header)
		if conn.matches(info, r.ID) {
			return answer, info, nil
		}
		lateAtOtherRequest.Inc()
		if late == maxLateAnswers || !conn.discard(p, answer, info) {
			return nil, info, fmt.Errorf("%s: %w", r.Server.Address, conn.mismatch(info))
		}
	}
}

// discard reads an answer to an earlier request of the connection to its end. It returns false if what follows can't be the beginning of
// another answer: nothing but the end of the connection shows its end, it is broken off, or another answer began within it.
func (c *conn) discard(p exchange.Protocol, answer *http.Response, info exchange.ResponseInfo) bool {
	late := &Response{conn: c, httpResponse: answer, protocol: p}
	if !c.requests.holds(info.ID) || c.carriedHead || answer.Close || late.Framing() == FramedByConnection {
		return false
	}
	if c.SetReadDeadline(time.Now().Add(lateAnswerTime)) != nil {
		return false
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxLateAnswerBytes+1))
	if err != nil || len(body) > maxLateAnswerBytes || late.HasEmbeddedResponse(body) || http1.CheckTrailer(answer.Trailer) != nil {
		return false
	}
	return c.SetReadDeadline(time.Time{}) == nil
}
