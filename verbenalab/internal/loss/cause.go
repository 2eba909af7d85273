package loss

import "strings"

// Cause is the outcome of a request or an item, with its reason.
type Cause string

// The causes that are derived from the times of a line. All others are composed of its outcome and reason.
const (
	InTime      Cause = "in time"
	LateWait    Cause = "late: wait for a slot"
	LateServer  Cause = "late: server's first byte"
	LateRetry   Cause = "late: sent again"
	ItemInTime  Cause = "item in time"
	ItemLate    Cause = "item late by up to 2 s"
	ItemTooLate Cause = "item late by more"
)

// maxSlightlyLateMs is the longest delay, in milliseconds, of an item that was only slightly late. An item with a longer
// delay had to wait for other items.
const maxSlightlyLateMs = 2000

// IsLoss reports whether the cause is a loss: anything but a result in time.
func (c Cause) IsLoss() bool { return c != InTime && c != ItemInTime }

// cause returns the cause of the request or item that a line reports. ok is false for other lines.
func (l *logLine) cause() (c Cause, ok bool) {
	switch l.Message {
	case "request ended":
		return l.requestCause(), true
	case "request refused":
		return Cause("refused: " + join(l.Fields.Reason, l.Fields.PlacedBy)), true
	case "item ended":
		return l.itemCause(), true
	}
	return "", false
}

func (l *logLine) requestCause() Cause {
	f := &l.Fields
	switch {
	case f.Outcome != "answered":
		return Cause("failed: " + join(f.Outcome, f.Reason))
	case f.Objective <= 0 || f.First <= f.Objective:
		return InTime
	case f.Sends+f.Refusals > 1:
		return LateRetry
	case 2*f.SlotWait >= f.First:
		return LateWait
	}
	return LateServer
}

func (l *logLine) itemCause() Cause {
	f := &l.Fields
	switch {
	case f.Outcome != "completed":
		return Cause("item failed: " + f.Reason)
	case f.DueIn >= 0:
		return ItemInTime
	case f.DueIn >= -maxSlightlyLateMs:
		return ItemLate
	}
	return ItemTooLate
}

// join joins the parts that are not empty.
func join(parts ...string) string {
	var list []string
	for _, p := range parts {
		if p != "" {
			list = append(list, p)
		}
	}
	return strings.Join(list, ", ")
}
