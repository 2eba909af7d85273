package bulk

// Progress is what an owner knows of a job beyond its visible results. A new owner goes on from there, so
// that items don't run again.
type Progress struct {
	// Results are done and not visible yet.
	Results        []Result        `cbor:"1,keyasint,omitempty"`
	PartialAnswers []PartialAnswer `cbor:"2,keyasint,omitempty"`
}

// Add takes what else is known.
func (p *Progress) Add(o Progress) {
	p.Results = append(p.Results, o.Results...)
	p.PartialAnswers = append(p.PartialAnswers, o.PartialAnswers...)
}

// Begun is the beginning of an item's answer.
type PartialAnswer struct {
	Item ItemID `cbor:"1,keyasint"`
	Text []byte `cbor:"2,keyasint"`
	// Events counts the whole events of the text, Last is the id of the last one.
	Events      int    `cbor:"3,keyasint"`
	LastEventID string `cbor:"4,keyasint"`
}
