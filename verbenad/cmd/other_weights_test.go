package cmd

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform/standin"
)

const (
	heldWeights  = "1"
	otherWeights = "2"
)

// newFleetWithWeights starts the fleet of newFleet, whose model servers hold heldWeights.
func newFleetWithWeights(t *testing.T) *fleet {
	f := newFleet(t, 10_000)
	for _, s := range f.servers {
		s.SetWeights(heldWeights)
	}
	return f
}

func weightsHeaders(version string) map[string]string {
	h := standin.StreamHeaders()
	h[standin.HeaderExpectWeights] = version
	return h
}

// callOthers checks that requests that name no weights are served.
func (f *fleet) callOthers(c *qt.C) {
	c.Helper()
	for range 20 {
		r := f.call("POST", "/stream/other", workspaceKey, standin.StreamHeaders(), nil)
		c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
		c.Assert(r.body, qt.Equals, streamBody(r.id))
	}
}

// TestFleetRefusalsOfOtherWeightsSpeakOfRequest guards against servers that get no requests at all because one request named a version
// of the weights that they don't hold. They refuse it with the status of another server at their address.
func TestFleetRefusalsOfOtherWeightsSpeakOfRequest(t *testing.T) {
	c := qt.New(t)
	f := newFleetWithWeights(t)
	for range 2 * len(f.servers) {
		r := f.call("POST", "/stream/x", workspaceKey, weightsHeaders(otherWeights), nil)
		c.Assert(r.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", r.body))
		c.Assert(f.runCount(r.id), qt.Equals, 0)
	}
	f.callOthers(c)
	r := f.call("POST", "/stream/x", workspaceKey, weightsHeaders(heldWeights), nil)
	c.Assert(r.status, qt.Equals, http.StatusOK)
	c.Assert(f.submitJob("job-after", 6).status, qt.Equals, http.StatusAccepted)
	f.awaitResults("job-after", 6)
}

// TestFleetItemOfOtherWeightsIsRefusedAlone guards against the same by an item, for as long as it is open.
func TestFleetItemOfOtherWeightsIsRefusedAlone(t *testing.T) {
	c := qt.New(t)
	f := newFleetWithWeights(t)
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    string            `json:"body"`
		Tokens  int               `json:"tokens"`
	}
	raw, err := json.Marshal(struct {
		Items []item `json:"items"`
	}{[]item{{ID: "odd-0", Path: "/batch/i", Headers: weightsHeaders(otherWeights), Body: base64.StdEncoding.EncodeToString([]byte("odd")), Tokens: 100}}})
	c.Assert(err, qt.IsNil)
	accepted := f.call("POST", "/batch/x", workspaceKey, map[string]string{standin.HeaderRequestID: "job-odd"}, raw)
	c.Assert(accepted.status, qt.Equals, http.StatusAccepted)
	c.Assert(f.submitJob("job-sound", 6).status, qt.Equals, http.StatusAccepted)
	f.awaitResults("job-sound", 6)
	f.callOthers(c)
	c.Assert(f.runCount("odd-0"), qt.Equals, 0)
	for _, s := range f.servers {
		s.SetWeights(otherWeights)
	}
	f.eventually("the item is done", func() bool {
		l, status := f.readResults("job-odd", 0)
		return status == http.StatusOK && len(l.Results) == 1 && l.Results[0].State == "completed"
	})
}
