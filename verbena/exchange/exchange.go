// Package exchange describes requests and responses independently of a deployment's headers.
package exchange

import (
	"net/http"
	"time"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/limit"
)

// RequestInfo is the information in the headers of a caller's request.
type RequestInfo struct {
	ID ids.RequestID
	// Key is the caller's API key.
	Key string
	// Remaining is the time left before the caller's timeout; 0 means that none was stated.
	Remaining time.Duration
	// PromptTokens and OutputTokens are the sizes of a generation's prompt and output, 0 if unknown.
	PromptTokens int
	OutputTokens int
	// OutputHint is the caller's estimate of the number of output tokens, 0 if unknown.
	OutputHint int
	// SharedParts are the parts of the prompt that other requests may have too, in order: all but the last one.
	SharedParts []ids.PromptPartID
	// SharedPartTokens are the sizes of SharedParts in tokens, 0 if unknown.
	SharedPartTokens []int
	// LastEventID is the id of the last event that the caller has; if empty, the stream starts from the beginning.
	LastEventID string
	// Resumes is the request that brought the first event of the stream that the caller takes up; empty if it starts a new one.
	Resumes ids.RequestID
	// Wait is how long a read may be kept waiting for results.
	Wait time.Duration
	// NamesWeights means that the request names the weights that a server must have. Others refuse it with the status of another
	// server at their address.
	NamesWeights bool
}

// ForwardInfo is the information sent to a backend server in addition to the caller's headers.
type ForwardInfo struct {
	Server    ids.BackendID
	Workspace ids.WorkspaceID
	// Remaining is the time left for the server to answer; 0 omits the header.
	Remaining time.Duration
	// LastEventID is the id of the last complete event received so far.
	LastEventID string
}

// ResponseInfo is the information in the headers of a backend server's response.
type ResponseInfo struct {
	ID ids.RequestID
	// Signed means that the response carries a server's signature.
	Signed bool
	// NotExecuted means that the server has not run the request and will not run it.
	NotExecuted bool
	Load        Load
	// Draining means that the server will stop soon: it finishes its requests and must get no new ones.
	Draining bool
	// Limit is what the response says of the requests that the server takes from all hosts together.
	Limit limit.Statement
	// KeepAlive is how long the server keeps an idle connection open; 0 means that it wasn't stated.
	KeepAlive time.Duration
}

// Load is the server's load at the time of a response, as counted by itself. Known is false if it wasn't stated.
type Load struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes on the server's machine at that moment, in percent of the usual time; 0 means unknown.
	Pace int
}

// Protocol translates between this package's types and a deployment's headers.
type Protocol interface {
	// ParseRequest reads a caller's headers.
	ParseRequest(h http.Header) RequestInfo
	// Forward returns the headers of a request to a server.
	Forward(h http.Header, info ForwardInfo) http.Header
	// ParseResponse reads a server's status and headers.
	ParseResponse(status int, h http.Header) ResponseInfo
	// ResponseHeaders returns the headers of a server's response that are forwarded to the caller.
	ResponseHeaders(h http.Header) http.Header
	// WriteRefusal writes a refusal by this host; retryAfter is when the caller should retry, 0 if never.
	WriteRefusal(w http.ResponseWriter, status int, id ids.RequestID, retryAfter time.Duration, reason string)
}
