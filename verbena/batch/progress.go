package batch

// Progress counts the items of a job by state. Committed counts items whose result is
// stored, Finished also those whose result is not committed yet.
type Progress struct {
	Job       Job
	Committed int
	Finished  int
	Running   int
	Failed    int
}
