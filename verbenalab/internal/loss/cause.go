package loss

import "strings"

// Cause is what became of a request or an item, and why.
type Cause string

// The causes that are no loss, and those that are made from figures rather than read.
const (
	InTime      Cause = "in time"
	LateWait    Cause = "late: wait for a slot"
	LateServer  Cause = "late: server's first byte"
	LateAgain   Cause = "late: sent again"
	ItemInTime  Cause = "item in time"
	ItemLate    Cause = "item late by up to 2 s"
	ItemTooLate Cause = "item late by more"
)

// lateBy divides late items, in milliseconds: those that missed little, and those that waited for others.
const lateBy = 2000

// Lost tells whether the cause stands for a loss.
func (c Cause) Lost() bool { return c != InTime && c != ItemInTime }

// cause tells what became of the request or item of a line. ok is false for other lines.
func (l *line) cause() (c Cause, ok bool) {
	switch l.Message {
	case "request ended":
		return l.ended(), true
	case "request refused":
		return Cause("refused: " + join(l.Fields.Reason, l.Fields.PlacedBy)), true
	case "item ended":
		return l.item(), true
	}
	return "", false
}

func (l *line) ended() Cause {
	f := &l.Fields
	switch {
	case f.Outcome != "answered":
		return Cause("failed: " + join(f.Outcome, f.Reason))
	case f.Objective <= 0 || f.First <= f.Objective:
		return InTime
	case f.Sends+f.Refusals > 1:
		return LateAgain
	case 2*f.SlotWait >= f.First:
		return LateWait
	}
	return LateServer
}

func (l *line) item() Cause {
	f := &l.Fields
	switch {
	case f.Outcome != "completed":
		return Cause("item failed: " + f.Reason)
	case f.DueIn >= 0:
		return ItemInTime
	case f.DueIn >= -lateBy:
		return ItemLate
	}
	return ItemTooLate
}

func join(parts ...string) string {
	var list []string
	for _, p := range parts {
		if p != "" {
			list = append(list, p)
		}
	}
	return strings.Join(list, ", ")
}
