package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"verbenaledge.example/platform/standin"
)

const (
	// streamCallers send one stream after another, and leave half of them before the end.
	streamCallers       = 4
	streamInterval      = 200 * time.Millisecond
	streamAbandonPeriod = 2
	// takeUpAttempts bounds how often a caller takes up a stream that broke off, takeUpRetryInterval is the time after an
	// attempt that was not served.
	takeUpAttempts      = 4
	takeUpRetryInterval = 100 * time.Millisecond
)

// requestStream requests a stream at a random entry host. If it breaks off, the caller takes it up at the other host.
func (ca *caller) requestStream(key string) {
	n := ca.random.IntN(entryHosts)
	first := ca.requestTo(ca.group.env.hosts[n], RouteResume, key)
	received := first.completeEvents()
	for range takeUpAttempts {
		if received == 0 || received >= streamEvents {
			return
		}
		n = (n + 1) % entryHosts
		c := ca.requestWithHeader(ca.group.env.hosts[n], RouteResume, key, map[string]string{
			standin.HeaderLastEvent: fmt.Sprint(received), standin.HeaderResumes: first.ID, standin.HeaderPromptParts: first.promptParts,
		})
		if c.Status != http.StatusOK {
			time.Sleep(takeUpRetryInterval)
		}
		received += c.completeEvents()
	}
}

// completeEvents returns the number of complete events in a response.
func (c Call) completeEvents() int {
	if c.Status != http.StatusOK {
		return 0
	}
	return strings.Count(strings.ReplaceAll(c.Body, standin.StallComment, ""), "\n\n")
}

// countTakeUps returns how often callers took a stream up, and how many of these attempts were served.
func countTakeUps(calls []Call) (sent, served int) {
	for _, c := range calls {
		if c.FirstAttempt == "" {
			continue
		}
		sent++
		if c.Status == http.StatusOK {
			served++
		}
	}
	return sent, served
}
