package upstream

import (
	"net/http"

	"verbenaledge.example/verbena/exchange"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/limit"
)

// limitStatement returns what a response's head says of the server's limit; ok is false if it says nothing. A head that
// names no limit says that there is none, but only if the server itself wrote it in its final response to this request.
func limitStatement(status int, info exchange.ResponseInfo, id ids.RequestID) (s limit.Statement, ok bool) {
	switch {
	case status == http.StatusMisdirectedRequest:
		return s, false // another server answered
	case info.Limit.Kind != limit.Unstated:
		return info.Limit, true
	}
	return info.Limit, status >= http.StatusOK && info.Signed && info.ID == id
}
