package caller

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"verbenaledge.example/verbena/platform"
	"verbenaledge.example/verbena/refusal"
	"verbenaledge.example/verbenad/internal/metric"
)

const (
	platformRetryAfter = 2 * time.Second
	// shortRetryAfter is the Retry-After of a request that conflicts with work in progress.
	shortRetryAfter = time.Second
)

// errorBody is the JSON body of a refusal, in the form that client libraries read.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string       `json:"message"`
	Type    string       `json:"type"`
	Code    refusal.Code `json:"code"`
	Run     refusal.Run  `json:"run"`
	// RetryAfterSeconds is 0 when a retry doesn't help.
	RetryAfterSeconds int `json:"retry_after_seconds"`
}

func newErrorBody(r *refusal.Refusal) errorBody {
	return errorBody{errorDetail{
		Message: r.Message, Type: "refusal", Code: r.Code, Run: r.Run, RetryAfterSeconds: r.RetryAfterSeconds(),
	}}
}

func writeRefusal(w http.ResponseWriter, r *refusal.Refusal) {
	metric.RequestRefused(string(r.Code))
	if s := r.RetryAfterSeconds(); s > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(s))
	}
	w.Header().Set("X-Run", string(r.Run))
	// Client libraries retry some statuses by default, but only requests that haven't run may be retried.
	w.Header().Set("X-Should-Retry", strconv.FormatBool(r.Run == refusal.NotRun && r.RetryAfter > 0))
	writeJSON(w, r.Status(), newErrorBody(r))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller has disconnected if this fails
}

// readBody reads the request body into c and refuses one that is larger than limit bytes.
func readBody(w http.ResponseWriter, c *call, limit int) *refusal.Refusal {
	body, err := io.ReadAll(http.MaxBytesReader(w, c.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refusal.New(refusal.TooLarge, 0, "the body is larger than %d bytes", limit)
	case err != nil:
		return refusal.New(refusal.BadRequest, 0, "the body can't be read: %s", err)
	}
	c.body = body
	return nil
}

// platformRefusal returns the refusal for a failed platform call; what names the missing object.
func platformRefusal(err error, what string) *refusal.Refusal {
	if errors.Is(err, platform.ErrNotFound) {
		return refusal.New(refusal.NotFound, 0, "no such %s", what)
	}
	return refusal.New(refusal.PlatformDown, platformRetryAfter, "the platform can't be reached; nothing was done")
}
