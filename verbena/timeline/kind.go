package timeline

// Kind names a kind of state change.
type Kind string

// The kinds of events.
const (
	RequestAdmitted    Kind = "request_admitted"
	HostStarted        Kind = "host_started"
	HostDraining       Kind = "host_draining"
	HostStopped        Kind = "host_stopped"
	HostCutOff         Kind = "host_cut_off"
	HostIsolated       Kind = "host_isolated"
	HostRejoined       Kind = "host_rejoined"
	LeaseAcquired      Kind = "lease_acquired"
	LeaseLost          Kind = "lease_lost"
	LeaseBroken        Kind = "lease_broken"
	LeaseExtended      Kind = "lease_extended"
	ShardAcquired      Kind = "shard_acquired"
	ShardLost          Kind = "shard_lost"
	ConfigApplied      Kind = "config_applied"
	PlatformDown       Kind = "platform_down"
	PlatformUp         Kind = "platform_up"
	BackendLeaving     Kind = "backend_leaving"
	BackendFailing     Kind = "backend_failing"
	BackendRecovered   Kind = "backend_back"
	RequestRetried     Kind = "request_retried"
	RequestPoisonous   Kind = "request_poisonous"
	ClaimUnknown       Kind = "claim_unknown"
	JobAccepted        Kind = "job_accepted"
	JobResumed         Kind = "job_resumed"
	JobCancelled       Kind = "job_cancelled"
	JobCompleted       Kind = "job_completed"
	SegmentRefused     Kind = "segment_refused"
	CertificateRenewed Kind = "certificate_renewed"
	CertificateRefused Kind = "certificate_refused"
)
