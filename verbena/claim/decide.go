package claim

// Action is what a host does with a resend whose claim exists already.
type Action int

// The actions.
const (
	// Conflict refuses the resend: the key was used with another body.
	Conflict Action = iota
	// Replay returns the stored answer.
	Replay
	// Wait reads the claim again later: its holder is still running the call.
	Wait
	// StoreUnknown stores that the outcome is unknown, because the holder's lease is gone.
	StoreUnknown
	// AnswerUnknown answers that the outcome is unknown.
	AnswerUnknown
)

// Decide returns the action for a resend with the given body hash. holderLive means that the lease under which the
// call was sent still exists in the platform.
func Decide(r Record, bodyHash string, holderLive bool) Action {
	if r.BodyHash != bodyHash {
		return Conflict
	}
	switch r.State {
	case Done:
		return Replay
	case Unknown:
		return AnswerUnknown
	case Started:
		if holderLive {
			return Wait
		}
	}
	return StoreUnknown
}
