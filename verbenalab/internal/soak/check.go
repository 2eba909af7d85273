package soak

// checker looks for broken promises of one kind.
type checker func(e *Evidence) []Violation

var checkers = []checker{checkAnswers, checkRuns, checkKeys, checkRates, checkPositions, checkOutputs, checkKept, checkCalm, checkDrains}

// Check looks for everything that is promised.
func Check(e *Evidence) (all []Violation) {
	for _, c := range checkers {
		all = append(all, c(e)...)
	}
	return all
}
