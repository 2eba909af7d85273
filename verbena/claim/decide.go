package claim

// Action is what a host does with a resend that has met a claim.
type Action int

// The actions.
const (
	// Conflict refuses: the key was used with another body.
	Conflict Action = iota
	// Replay answers with the stored answer.
	Replay
	// Wait reads the claim again later: its holder is at work.
	Wait
	// Settle stores that the outcome is unknown: the holder's lease is gone.
	StoreUnknown
	// TellUnknown answers that the outcome is unknown.
	AnswerUnknown
)

// Decide says what to do with a resend. holderLive tells whether the lease under
// which the call was sent still stands in the platform.
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
