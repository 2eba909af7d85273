package catalogcheck

import "fmt"

// figure is a numeric field of an entry. value is comparable with 0 and with another of the same field.
type figure struct {
	field Field
	value float64
	// text is the value with its unit.
	text string
}

// number is a type of numeric fields.
type number interface {
	~int | ~int64 | ~float64
}

func newFigure[N number](f Field, v N) figure {
	return figure{f, float64(v), fmt.Sprint(v)}
}

// reportNegative reports the figures below 0.
func (c *findings) reportNegative(p Place, figures []figure) {
	for _, f := range figures {
		if f.value < 0 {
			c.report(Error, p, fmt.Sprintf("%s is below 0", f.text), "state 0 or more", f.field)
		}
	}
}

// orNone returns a figure for which 0 means that none is stated.
func orNone(f figure) figure {
	if f.value == 0 {
		f.text = "none"
	}
	return f
}

// changeNotes tell who keeps a former figure.
var changeNotes = map[Field]string{
	FieldTimeout:         "; requests that run keep theirs",
	FieldResultsDueAfter: "; jobs accepted before keep theirs",
	FieldGiveUpAfter:     "; jobs accepted before keep theirs",
	FieldTokenCap:        "; items that already wait are kept",
}

// reportChanged reports the figures that differ. after has the fields of before, in the same order.
func (c *findings) reportChanged(p Place, before, after []figure) {
	for i, f := range after {
		if f.value != before[i].value {
			c.report(Change, p, fmt.Sprintf("changes from %s to %s%s", before[i].text, f.text, changeNotes[f.field]), "", f.field)
		}
	}
}
