package refusal

// Run says whether the refused request reached a backend server.
type Run string

// NotRun is said only when it is known; Unknown covers every doubt.
const (
	NotRun  Run = "not_run"
	Ran     Run = "ran"
	Unknown Run = "unknown"
)
