package bulk

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestGiveUpTimeOfStoredJob guards against an owner that gives up a job before its time because its clock and the job's differ.
func TestGiveUpTimeOfStoredJob(t *testing.T) {
	boot := time.Unix(1000, 0) // the owner's clock of elapsed time when it loads the job
	for name, test := range map[string]struct {
		// since is how long ago the job was submitted, ahead the owner's time of day against that of the entry host.
		since, ahead, maxSkew, want time.Duration
	}{
		"same clock":                    {since: 20 * time.Second, want: 40 * time.Second},
		"same clock, skew allowed":      {since: 20 * time.Second, maxSkew: 5 * time.Second, want: 45 * time.Second},
		"ahead by what is allowed":      {since: 20 * time.Second, ahead: 5 * time.Second, maxSkew: 5 * time.Second, want: 40 * time.Second},
		"behind by what is allowed":     {since: 20 * time.Second, ahead: -5 * time.Second, maxSkew: 5 * time.Second, want: 50 * time.Second},
		"behind, submitted just now":    {since: time.Second, ahead: -5 * time.Second, maxSkew: 5 * time.Second, want: time.Minute},
		"far behind":                    {since: 20 * time.Second, ahead: -time.Hour, maxSkew: 5 * time.Second, want: time.Minute},
		"over since long":               {since: time.Hour, maxSkew: 5 * time.Second, want: -59*time.Minute + 5*time.Second},
		"over, but not by all accounts": {since: 62 * time.Second, maxSkew: 5 * time.Second, want: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			j := newJob("a", 1)
			got := j.GiveUpTime(boot, boot, noon.Add(test.since+test.ahead), test.maxSkew)
			c.Assert(got.Sub(boot), qt.Equals, test.want)
		})
	}
}
