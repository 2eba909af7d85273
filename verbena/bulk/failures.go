package bulk

import "verbenaledge.example/verbena/catalog"

// maxFailuresFactor times the attempts of a route is how many of an item's runs may fail at servers.
const maxFailuresFactor = 3

// EndingFailures returns how many answers of 500 end an item as errored. attempts is what the owner's configuration of a version allows.
// Both it and the one under which the job was accepted may be in force, so the larger number counts, within what the newer one bears.
func (j *Job) EndingFailures(attempts int, version catalog.Version) int {
	accepted := j.MaxAttempts
	if accepted == 0 {
		accepted = attempts
	}
	newer := attempts
	if version < j.Configuration {
		newer = accepted
	}
	return min(max(accepted, attempts), maxFailuresFactor*newer)
}
