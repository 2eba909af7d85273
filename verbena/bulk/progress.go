package bulk

import "verbenaledge.example/verbena/origin"

// Progress is what an owner knows of a job beyond its visible results. A new owner resumes from it, so
// that items don't run again from the beginning.
type Progress struct {
	// Results are complete but not visible yet.
	Results        []Result        `cbor:"1,keyasint,omitempty"`
	PartialAnswers []PartialAnswer `cbor:"2,keyasint,omitempty"`
	Failures       []ItemFailures  `cbor:"3,keyasint,omitempty"`
}

// Add appends the results and partial answers of another report on the same job.
func (p *Progress) Add(other Progress) {
	p.Results = append(p.Results, other.Results...)
	p.PartialAnswers = append(p.PartialAnswers, other.PartialAnswers...)
	p.Failures = append(p.Failures, other.Failures...)
}

// Empty reports whether there is nothing to report.
func (p *Progress) Empty() bool { return len(p.Results)+len(p.PartialAnswers)+len(p.Failures) == 0 }

// ItemFailures is how many answers of 500 an item has had, those that the reporting owner learned from a former one included.
type ItemFailures struct {
	Item  ItemID `cbor:"1,keyasint"`
	Count int    `cbor:"2,keyasint"`
}

// PartialAnswer is the beginning of an item's answer.
type PartialAnswer struct {
	Item ItemID `cbor:"1,keyasint"`
	Text []byte `cbor:"2,keyasint"`
	// Events counts the complete events in the text; LastEventID is the id of the last one.
	Events      int    `cbor:"3,keyasint"`
	LastEventID string `cbor:"4,keyasint"`
	// Origin is where the answer began; nil in the reports of releases that didn't record it.
	Origin *origin.Origin `cbor:"5,keyasint,omitempty"`
}
