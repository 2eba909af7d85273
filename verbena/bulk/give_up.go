package bulk

import "time"

// GiveUpAfter returns how long after its submission a job's unfinished items may be given up. Both times are of one clock.
func (j *Job) GiveUpAfter() time.Duration { return j.GiveUpAt.Sub(j.Submitted) }

// DueAfter returns how long after its submission a job's results are due.
func (j *Job) DueAfter() time.Duration { return j.Due.Sub(j.Submitted) }

// GiveUpTime returns when the unfinished items of a stored job are given up, by the owner's clock of elapsed time. The owner has known
// the job since knownSince and has the given time of day, which may differ from that of the job's times by maxSkew: the result is
// not before the job's GiveUpAt, and not later than if the job had been submitted at knownSince.
func (j *Job) GiveUpTime(knownSince, elapsed, timeOfDay time.Time, maxSkew time.Duration) time.Time {
	latest := knownSince.Add(j.GiveUpAfter())
	if at := elapsed.Add(j.GiveUpAt.Add(maxSkew).Sub(timeOfDay)); at.Before(latest) {
		return at
	}
	return latest
}
