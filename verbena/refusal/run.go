package refusal

// Run states whether the refused request ran on a backend server.
type Run string

// The values of Run. NotRun and Ran are used only if that is certain, Unknown otherwise.
const (
	NotRun  Run = "not_run"
	Ran     Run = "ran"
	Unknown Run = "unknown"
)
