package catalogcheck

// Field names a field of a configuration.
type Field string

// The fields that findings name.
const (
	FieldVersion         Field = "version"
	FieldName            Field = "name"
	FieldHost            Field = "host"
	FieldPrefix          Field = "prefix"
	FieldKind            Field = "kind"
	FieldTimeout         Field = "timeout"
	FieldObjective       Field = "objective"
	FieldMaxEventGap     Field = "max_event_gap"
	FieldPriority        Field = "priority"
	FieldTargets         Field = "targets"
	FieldMaxAttempts     Field = "max_attempts"
	FieldPublic          Field = "public"
	FieldResumable       Field = "resumable"
	FieldResultsDueAfter Field = "results_due_after"
	FieldGiveUpAfter     Field = "give_up_after"
	FieldTokenCap        Field = "token_cap"
	FieldHealthPath      Field = "health_path"
	FieldMaxConnections  Field = "max_connections"
	FieldGeneratesTokens Field = "generates_tokens"
	FieldColdPerSecond   Field = "cold_per_second"
	FieldColdTime        Field = "cold_time"
	FieldMemoryTokens    Field = "memory_tokens"
	FieldKeys            Field = "keys"
	FieldRate            Field = "rate_per_second"
	FieldBurst           Field = "burst"
	FieldHeaderBytes     Field = "header_bytes"
	FieldBodyBytes       Field = "body_bytes"
	FieldHeaderTimeout   Field = "header_timeout"
	FieldIdleTimeout     Field = "idle_timeout"
)
