package dispatch

import (
	"verbenaledge.example/verbena/crash"
)

// AnswerBegan is an event: the server of a trial has sent the first part of its answer.
type AnswerBegan struct{ Key Key }

// CrashReportsReceived carries the reports of another host. With Replace, they replace those that are known.
type CrashReportsReceived struct {
	Reports []crash.Report
	Replace bool
}

func (AnswerBegan) event()          {}
func (CrashReportsReceived) event() {}

// CrashReported reports, for logs, that a server crashed while it ran a request.
type CrashReported struct {
	Key    Key
	Report crash.Report
	// Crashes is how many crashes incriminate the request.
	Crashes int
}

// CrashRefuted reports, for logs, that a server survived what was reported as its crash: a connection from before it brought
// the answer to a later request.
type CrashRefuted struct {
	Key    Key
	Report crash.Report
}

// CrashReportsChanged carries the crash reports in force, for other hosts.
type CrashReportsChanged struct{ Reports []crash.Report }

func (CrashReported) command()       {}
func (CrashRefuted) command()        {}
func (CrashReportsChanged) command() {}
