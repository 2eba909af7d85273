// Package refusal defines the answer that a caller gets when its request is not served.
package refusal

import (
	"fmt"
	"net/http"
	"time"
)

// Refusal is a final answer: why the request was refused, whether it ran, and after which time to retry it.
type Refusal struct {
	Code       Code
	Run        Run
	Message    string
	RetryAfter time.Duration
}

// New returns a refusal of a request that is known not to have run.
func New(code Code, after time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Run: NotRun, Message: fmt.Sprintf(format, args...), RetryAfter: after}
}

// WithRun returns a copy with another value of Run.
func (r *Refusal) WithRun(run Run) *Refusal {
	c := *r
	c.Run = run
	return &c
}

// Error returns the code, the value of Run and the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Run, r.Message)
}

// Status returns the HTTP status that goes with the code.
func (r *Refusal) Status() int {
	switch r.Code {
	case BadRequest:
		return http.StatusBadRequest
	case BadKey:
		return http.StatusUnauthorized
	case Forbidden:
		return http.StatusForbidden
	case NotFound:
		return http.StatusNotFound
	case Conflict, InProgress:
		return http.StatusConflict
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case RateExceeded:
		return http.StatusTooManyRequests
	case BackendFailed, OutcomeUnknown, Poisonous:
		return http.StatusBadGateway
	case DeadlineExceeded:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// RetryAfterSeconds returns the header value in whole seconds, rounded up; 0 means that a retry doesn't help.
func (r *Refusal) RetryAfterSeconds() int {
	return int((r.RetryAfter + time.Second - 1) / time.Second)
}
