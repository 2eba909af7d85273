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

// Request is one online question.
type Request struct {
	Workspace string
	Key       string
	Model     string
	Prompt    string
	MaxTokens int
	// Host, when set, is the caller address of the daemon to be asked.
	Host string
}

// Answer is what became of a question.
type Answer struct {
	Workspace string
	Start     time.Time
	// Code is empty for a whole answer, else why there is none.
	Code       string
	Message    string
	Run        string
	RetryAfter string
	FirstToken time.Duration
	// Gaps are the times between tokens.
	Gaps   []time.Duration
	Tokens int
	Host   string
	// RequestID is the daemon's, by which ledgers know the request.
	RequestID string
}

// CodeBroken is the code of an answer whose connection broke.
const CodeBroken = "connection_broken"

// Caller sends questions through a balancer.
type Caller struct {
	balancer *Balancer
	http     *http.Client
}

// NewCaller returns a caller that keeps its connections.
func NewCaller(b *Balancer) *Caller {
	const idle = 512
	return &Caller{b, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idle}}}
}

type refusalBody struct {
	Error struct {
		Code    string `json:"code"`
		Run     string `json:"run"`
		Message string `json:"message"`
	} `json:"error"`
}

// Ask sends a question and reads the streamed answer.
func (c *Caller) Ask(ctx context.Context, q Request) (a Answer) {
	a = Answer{Workspace: q.Workspace, Start: time.Now(), Host: q.Host}
	if a.Host == "" {
		a.Host = c.balancer.Pick()
	}
	body, err := json.Marshal(struct {
		Model     string              `json:"model"`
		Stream    bool                `json:"stream"`
		MaxTokens int                 `json:"max_tokens"`
		Messages  []map[string]string `json:"messages"`
	}{q.Model, true, q.MaxTokens, []map[string]string{{"role": "user", "content": q.Prompt}}})
	if err != nil {
		panic(err) // it holds only strings and numbers
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Host+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		panic(err) // the address is the balancer's
	}
	req.Header.Set("Authorization", "Bearer "+q.Key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		a.Code = CodeBroken
		return a
	}
	defer func() { _ = resp.Body.Close() }() // it has been read
	a.RequestID = resp.Header.Get("X-Request-Id")
	if resp.StatusCode != http.StatusOK {
		a.refused(resp)
		return a
	}
	a.read(bufio.NewReader(resp.Body))
	return a
}

func (a *Answer) refused(resp *http.Response) {
	var body refusalBody
	if json.NewDecoder(resp.Body).Decode(&body) != nil || body.Error.Code == "" {
		body.Error.Code = fmt.Sprintf("status_%d", resp.StatusCode)
	}
	a.Code, a.Run, a.Message, a.RetryAfter = body.Error.Code, body.Error.Run, body.Error.Message, resp.Header.Get("Retry-After")
}

func (a *Answer) read(lines *bufio.Reader) {
	last := time.Now()
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			a.Code = CodeBroken
			return
		}
		payload, isData := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		switch {
		case !isData:
			continue
		case payload == "[DONE]":
			return
		case strings.HasPrefix(payload, `{"error"`):
			var body refusalBody
			if err := json.Unmarshal([]byte(payload), &body); err == nil {
				a.Code, a.Run, a.Message = body.Error.Code, body.Error.Run, body.Error.Message
			}
			return
		}
		now := time.Now()
		if a.Tokens == 0 {
			a.FirstToken = now.Sub(a.Start)
		} else {
			a.Gaps = append(a.Gaps, now.Sub(last))
		}
		last = now
		a.Tokens++
	}
}

// Whole tells whether the answer came to its end.
func (a Answer) Whole() bool { return a.Code == "" }

var errNoID = errors.New("the answer has no id")
