package soak

// checker finds the violations of one kind of guarantee.
type checker func(ev *Evidence) []Violation

var checkers = []checker{
	checkAnswers, checkRuns, checkKeys, checkRates, checkPositions, checkOutputs, checkRetention, checkAfterRecovery, checkDraining, checkEvacuation,
	checkContainment, checkVersions, checkLimits, checkProcesses, checkCuts,
}

// Check returns the violations of all guarantees.
func Check(ev *Evidence) (all []Violation) {
	for _, c := range checkers {
		all = append(all, c(ev)...)
	}
	return all
}
