package slots

import (
	"net/http"

	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/exchange"
)

// RefusalResult returns the result of a send to a server that has not executed the request, by the status of its answer. What the
// request says of itself is no evidence about the server.
func RefusalResult(status int, info exchange.RequestInfo) dispatch.Result {
	switch {
	case status == http.StatusMisdirectedRequest && info.NamesWeights:
		return dispatch.Rejected
	case status == http.StatusMisdirectedRequest:
		return dispatch.Gone
	case status < http.StatusInternalServerError && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout:
		return dispatch.Rejected
	}
	return dispatch.Full
}
