package batch

// Progress is how far a job is at its owner. Committed counts items whose result
// is safe; Finished also those that wait for their commit.
type Progress struct {
	Job       Job
	Committed int
	Finished  int
	Running   int
	Failed    int
}
