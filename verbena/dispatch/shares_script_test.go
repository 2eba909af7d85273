package dispatch

import "verbenaledge.example/verbena/fairness"

// describeShare returns the standing of a request's workspace while room was short.
func describeShare(in Inputs) string {
	if in.Share == fairness.None {
		return ""
	}
	return " " + in.Share.String()
}
