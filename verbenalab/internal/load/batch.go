package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"strings"
	"time"
)

const (
	maxAttempts    = 40
	retryInterval  = 250 * time.Millisecond
	attemptTimeout = 10 * time.Second
	pollInterval   = 250 * time.Millisecond
)

// Batch is a job as the API returns it.
type Batch struct {
	ID           string `json:"id"`
	Status       string `json:"status"`
	OutputFileID string `json:"output_file_id"`
	Counts       struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// Upload uploads an input file and returns its ID.
func (c *Caller) Upload(ctx context.Context, key string, content []byte) (id string, err error) {
	var body bytes.Buffer
	form := multipart.NewWriter(&body)
	if err := form.WriteField("purpose", "batch"); err != nil {
		return "", err
	}
	part, err := form.CreateFormFile("file", "input.jsonl")
	if err != nil {
		return "", err
	}
	if _, err := part.Write(content); err != nil {
		return "", err
	}
	if err := form.Close(); err != nil {
		return "", err
	}
	var file struct {
		ID string `json:"id"`
	}
	err = c.sendWithRetries(ctx, batchRequest{
		method: http.MethodPost, path: "/v1/files", key: key, body: body.Bytes(), contentType: form.FormDataContentType(),
	}, &file)
	if err == nil && file.ID == "" {
		err = errNoID
	}
	return file.ID, err
}

// Submit submits an input file as a job. The idempotency key makes it safe to resend the request.
func (c *Caller) Submit(ctx context.Context, key, file, idempotencyKey, window string) (b Batch, err error) {
	body := fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":%q}`, file, window)
	err = c.sendWithRetries(ctx, batchRequest{
		method: http.MethodPost, path: "/v1/batches", key: key, body: []byte(body),
		contentType: "application/json", idempotencyKey: idempotencyKey,
	}, &b)
	if err == nil && b.ID == "" {
		err = errNoID
	}
	return b, err
}

// Cancel requests the cancellation of a job.
func (c *Caller) Cancel(ctx context.Context, key, id string) (b Batch, err error) {
	err = c.sendWithRetries(ctx, batchRequest{method: http.MethodPost, path: "/v1/batches/" + id + "/cancel", key: key}, &b)
	return b, err
}

// Status returns a job's current state.
func (c *Caller) Status(ctx context.Context, key, id string) (b Batch, err error) {
	err = c.sendWithRetries(ctx, batchRequest{method: http.MethodGet, path: "/v1/batches/" + id, key: key}, &b)
	return b, err
}

// AwaitEnd polls a job until it is completed or cancelled.
func (c *Caller) AwaitEnd(ctx context.Context, key, id string) (b Batch, err error) {
	for {
		b, err = c.Status(ctx, key, id)
		if err != nil || b.Status == "completed" || b.Status == "cancelled" {
			return b, err
		}
		select {
		case <-ctx.Done():
			return b, ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// Output downloads and parses a job's output file.
func (c *Caller) Output(ctx context.Context, key, file string) (lines []OutputLine, err error) {
	var text string
	err = c.sendWithRetries(ctx, batchRequest{method: http.MethodGet, path: "/v1/files/" + file + "/content", key: key}, &text)
	if err != nil {
		return nil, err
	}
	for _, l := range strings.Split(strings.TrimSpace(text), "\n") {
		if l == "" {
			continue
		}
		var o OutputLine
		if err := json.Unmarshal([]byte(l), &o); err != nil {
			return nil, fmt.Errorf("output line %q: %w", l, err)
		}
		lines = append(lines, o)
	}
	return lines, nil
}

// OutputLine is the result of one item in an output file.
type OutputLine struct {
	CustomID string `json:"custom_id"`
	Response *struct {
		StatusCode int             `json:"status_code"`
		Body       json.RawMessage `json:"body"`
	} `json:"response"`
	Error *struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// batchRequest is a request to the file and batch API.
type batchRequest struct {
	method, path, key, contentType, idempotencyKey string
	body                                           []byte
}

// sendWithRetries sends a request until it succeeds or fails permanently, at most maxAttempts times.
func (c *Caller) sendWithRetries(ctx context.Context, r batchRequest, into any) (err error) {
	for range maxAttempts {
		var retry bool
		retry, err = c.send(ctx, r, into)
		if !retry {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(retryInterval):
		}
	}
	return err
}

// send sends a request once and decodes the answer. It reports whether a failed request may be retried.
func (c *Caller) send(ctx context.Context, r batchRequest, into any) (retry bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+c.balancer.Pick()+r.path, bytes.NewReader(r.body))
	if err != nil {
		return false, err
	}
	req.Header.Set("Authorization", "Bearer "+r.key)
	if r.contentType != "" {
		req.Header.Set("Content-Type", r.contentType)
	}
	if r.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.idempotencyKey)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return true, err
	}
	defer func() { _ = resp.Body.Close() }() // the body is only read
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return true, err
	}
	if resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s %s: status %d: %s", r.method, r.path, resp.StatusCode, bytes.TrimSpace(data))
		return resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests, err
	}
	if text, ok := into.(*string); ok {
		*text = string(data)
		return false, nil
	}
	return false, json.Unmarshal(data, into)
}
