package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// ChatRequest is an online chat request with a single user message.
type ChatRequest struct {
	Workspace string
	Key       string
	Model     string
	Prompt    string
	MaxTokens int
	// CallerAddress is the daemon to send the request to. If it is empty, the balancer picks one.
	CallerAddress string
}

// Answer is the outcome of a chat request.
type Answer struct {
	Workspace string
	Start     time.Time
	// Code is empty for a complete answer, and the error code otherwise.
	Code    string
	Message string
	// Run says whether a refused request has run, as the daemon reports it, for instance not_run or unknown.
	Run              string
	RetryAfter       string
	TimeToFirstToken time.Duration
	// TokenGaps are the times between consecutive tokens.
	TokenGaps     []time.Duration
	Tokens        int
	CallerAddress string
	// RequestID is the ID that the daemon assigned, under which the backend servers' ledgers list the request.
	RequestID string
}

// CodeConnectionBroken is the code of an answer whose connection broke before its end.
const CodeConnectionBroken = "connection_broken"

// Caller sends requests through a balancer.
type Caller struct {
	balancer *Balancer
	http     *http.Client
}

// NewCaller returns a caller that reuses its connections.
func NewCaller(b *Balancer) *Caller {
	const maxIdlePerHost = 512
	return &Caller{b, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost}}}
}

// errorBody is the body of a refusal, and the payload of an error event within a stream.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Run     string `json:"run"`
		Message string `json:"message"`
	} `json:"error"`
}

// Chat sends a chat request and reads the streamed answer.
func (c *Caller) Chat(ctx context.Context, chat ChatRequest) (a Answer) {
	a = Answer{Workspace: chat.Workspace, Start: time.Now(), CallerAddress: chat.CallerAddress}
	if a.CallerAddress == "" {
		a.CallerAddress = c.balancer.Pick()
	}
	body, err := json.Marshal(struct {
		Model     string              `json:"model"`
		Stream    bool                `json:"stream"`
		MaxTokens int                 `json:"max_tokens"`
		Messages  []map[string]string `json:"messages"`
	}{chat.Model, true, chat.MaxTokens, []map[string]string{{"role": "user", "content": chat.Prompt}}})
	if err != nil {
		panic(err) // it holds only strings and numbers
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.CallerAddress+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		panic(err) // the URL is valid, as its host is a listener's address
	}
	req.Header.Set("Authorization", "Bearer "+chat.Key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		a.Code = CodeConnectionBroken
		return a
	}
	defer func() { _ = resp.Body.Close() }() // the body is only read
	a.RequestID = resp.Header.Get("X-Request-Id")
	if resp.StatusCode != http.StatusOK {
		a.readRefusal(resp)
		return a
	}
	a.readStream(bufio.NewReader(resp.Body))
	return a
}

// readRefusal sets the error fields from a response with a status other than 200.
func (a *Answer) readRefusal(resp *http.Response) {
	var body errorBody
	if json.NewDecoder(resp.Body).Decode(&body) != nil || body.Error.Code == "" {
		body.Error.Code = fmt.Sprintf("status_%d", resp.StatusCode)
	}
	a.Code, a.Run, a.Message, a.RetryAfter = body.Error.Code, body.Error.Run, body.Error.Message, resp.Header.Get("Retry-After")
}

// readStream reads server-sent events until the end of the stream and measures the times of tokens.
func (a *Answer) readStream(stream *bufio.Reader) {
	last := time.Now()
	for {
		line, err := stream.ReadString('\n')
		if err != nil {
			a.Code = CodeConnectionBroken
			return
		}
		payload, isData := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		switch {
		case !isData:
			continue
		case payload == "[DONE]":
			return
		case strings.HasPrefix(payload, `{"error"`):
			var body errorBody
			if err := json.Unmarshal([]byte(payload), &body); err == nil {
				a.Code, a.Run, a.Message = body.Error.Code, body.Error.Run, body.Error.Message
			}
			return
		}
		now := time.Now()
		if a.Tokens == 0 {
			a.TimeToFirstToken = now.Sub(a.Start)
		} else {
			a.TokenGaps = append(a.TokenGaps, now.Sub(last))
		}
		last = now
		a.Tokens++
	}
}

// Complete reports whether the answer was received to its end without an error.
func (a Answer) Complete() bool { return a.Code == "" }

var errNoID = errors.New("response has no id")
