package refusal

// Code is the machine-readable reason of a refusal.
type Code string

// The codes that callers can get.
const (
	BadRequest        Code = "bad_request"
	BadKey            Code = "bad_key"
	Forbidden         Code = "forbidden"
	NotFound          Code = "not_found"
	Conflict          Code = "idempotency_conflict"
	InProgress        Code = "in_progress"
	TooLarge          Code = "too_large"
	RateExceeded      Code = "rate_exceeded"
	QuotaUnavailable  Code = "quota_unavailable"
	NoBackend         Code = "no_backend"
	BackendFailed     Code = "backend_failed"
	Poisonous         Code = "poisonous"
	RetryBudget       Code = "retry_budget"
	PlatformDown      Code = "platform_unavailable"
	Isolated          Code = "isolated"
	Draining          Code = "draining"
	OutcomeUnknown    Code = "outcome_unknown"
	Overloaded        Code = "overloaded"
	DeadlineExceeded  Code = "deadline_exceeded"
	ConfigUnavailable Code = "config_unavailable"
)
