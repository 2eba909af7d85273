package lateanswers

import (
	"context"
	"io"
	"net/http"
	"strings"

	"verbenaledge.example/platform/standin"
)

// call sends a request to a host and returns the answer's status and body.
func (h *host) call(ctx context.Context, method, path, id string, header map[string]string, body string) (status int, answer []byte, err error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.callerAddress()+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = "host.example"
	request.GetBody = nil // net/http must not retry the request
	request.Close = true
	request.Header.Set("Authorization", "Bearer "+callerKey)
	request.Header.Set(standin.HeaderRequestID, id)
	for k, v := range header {
		request.Header.Set(k, v)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }() // read errors are returned
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}
