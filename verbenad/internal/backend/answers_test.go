package backend_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/refusal"
	client "verbenaledge.example/verbenad/internal/backend"
	"verbenaledge.example/verbenad/internal/cutserver"
)

// TestAnswers plays answers byte for byte. Of one that can't be trusted nothing is known, not even that the request was not run;
// one that is odd but valid stays whole.
func TestAnswers(t *testing.T) {
	const answer = "the answer"
	header := []string{client.HeaderRequestID + ": r.1"}
	cases, err := cutserver.Cases()
	qt.Assert(t, err, qt.IsNil)
	server, err := cutserver.Start()
	qt.Assert(t, err, qt.IsNil)
	defer func() { qt.Check(t, server.Close(), qt.IsNil) }()
	for _, tc := range cases {
		t.Run(tc.Name, func(t *testing.T) {
			c := qt.New(t)
			server.SetAnswers(tc.Answer(header, client.HeaderState+": leaving", answer))
			start := time.Now()
			resp, callErr := client.NewClient(time.Second, 10*time.Second).Send(t.Context(), client.Request{
				Server: backend.Server{ID: "b", Address: server.Address()}, ID: "r.1", Method: http.MethodPost, Path: "/x",
				Header: http.Header{}, Body: make([]byte, tc.UploadBytes),
			})
			var body []byte
			if callErr == nil {
				defer resp.Close()
				if body, err = resp.ReadAll(); err != nil {
					callErr = client.AsCallError(err)
				}
			}
			c.Check(time.Since(start) < 5*time.Second, qt.IsTrue)
			want := tc.Want(header, answer)
			switch {
			case !tc.Sound():
				c.Assert(callErr != nil, qt.IsTrue, qt.Commentf("%q", body))
				c.Check(callErr.Run(), qt.Equals, refusal.Unknown)
			case strings.HasPrefix(want, "HTTP/1.1 5"):
				c.Assert(callErr != nil, qt.IsTrue)
				c.Check(want, qt.Contains, http.StatusText(callErr.Status))
				c.Check(callErr.Run(), qt.Equals, refusal.Ran)
			default:
				c.Assert(callErr == nil, qt.IsTrue, qt.Commentf("%v", callErr))
				c.Check(want, qt.Contains, http.StatusText(resp.Status))
				_, wantBody, _ := strings.Cut(want, "\r\n\r\n")
				c.Check(string(body), qt.Equals, wantBody)
			}
		})
	}
}
