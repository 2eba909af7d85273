package loglines

import (
	"slices"
	"sort"
	"time"
)

// hostStateMessages are the messages of lines on the state of a host and what it knows of servers, the store and other
// hosts. They concern no single request.
var hostStateMessages = map[string]bool{
	"configuration in force": true, "server listed": true, "servers listed": true, "server gone": true,
	"server names a limit": true, "server names no limit any more": true,
	"server's limit can't be read": true, "limits of servers received": true,
	"dispatching host reached": true, "dispatching host lost": true,
	"dispatching host is silent": true, "store does not answer": true, "store answers again": true,
	"this host reaches no server directly": true, "this host reaches servers directly again": true,
	"server is reached only over another host": true, "host reports whether it reaches servers": true,
	"units owned": true, "shard taken over": true, "shard given up": true, "lease held": true, "lease lost": true, "lease broken": true,
	"started": true, "stopped": true, "stopping: readiness is withdrawn": true, "stopping: idle connections end": true,
	"requests in progress end with the grace period": true, "stopping: units are handed over": true,
	"log lines left out": true, "settings read again": true,
}

// limitMessages are those of hostStateMessages on how many requests a server takes.
var limitMessages = map[string]bool{"server names a limit": true, "server names no limit any more": true, "server's limit can't be read": true}

// Explanation holds the log lines that explain one request, in order of time.
type Explanation struct {
	Lines []Line
	// Cause names how the request ended, and says in words what this means and what to check next.
	Cause string
}

// Explain merges the lines that concern an id, or a request for another part of the same stream, with the lines on the state
// of the hosts and servers involved. It takes the latter from the given duration before the first line on these requests to
// the same duration after the last.
func Explain(all []Line, id string, around time.Duration) (e Explanation, found bool) {
	found = slices.ContainsFunc(all, func(l Line) bool { return l.concerns(id) })
	if !found {
		return e, false
	}
	requests := streamRequests(all, id)
	in := findInvolved(all, requests)
	for _, l := range all {
		near := !l.Time.Before(in.first.Add(-around)) && !l.Time.After(in.last.Add(around))
		server := l.textField("server")
		anyServer := server == "" || len(in.servers) == 0 && limitMessages[l.Message] // a request without a server was kept from all of them
		related := in.hosts[l.Host()] && (anyServer || in.servers[server])
		if l.concernsAny(requests) || near && hostStateMessages[l.Message] && related {
			e.Lines = append(e.Lines, l)
		}
	}
	sort.SliceStable(e.Lines, func(i, j int) bool { return e.Lines[i].Time.Before(e.Lines[j].Time) })
	e.Cause = findCause(e.Lines, id)
	return e, true
}

// involved holds the hosts and servers that lines on some requests name, and the times of the first and last such line.
type involved struct {
	hosts, servers map[string]bool
	first, last    time.Time
}

func findInvolved(all []Line, requests []string) involved {
	in := involved{hosts: make(map[string]bool), servers: make(map[string]bool)}
	for _, l := range all {
		if !l.concernsAny(requests) {
			continue
		}
		in.hosts[l.Host()] = true
		if server := l.textField("server"); server != "" {
			in.servers[server] = true
		}
		if in.first.IsZero() || l.Time.Before(in.first) {
			in.first = l.Time
		}
		if l.Time.After(in.last) {
			in.last = l.Time
		}
	}
	return in
}

// streamRequests returns an id and those of the requests for other parts of the same stream. Each of them names the request
// that brought the stream's first event.
func streamRequests(all []Line, id string) []string {
	first := id
	for _, l := range all {
		if r := l.textField("resumes"); r != "" && l.concerns(id) {
			first = r
		}
	}
	requests := []string{id}
	if first != id {
		requests = append(requests, first)
	}
	for _, l := range all {
		if r := l.textField("request_id"); r != "" && l.textField("resumes") == first && !slices.Contains(requests, r) {
			requests = append(requests, r)
		}
	}
	return requests
}

// causeTexts give the meaning of a reason, outcome or message, and what to check next.
var causeTexts = map[string]string{
	"over_rate": "the workspace exceeded its rate over all hosts; compare its rate with its use, " +
		"or see placed_by: a host that decides locally, and a standby to which few hosts are connected, admit only their share of the rate",
	"cannot_be_done":   "the server said that the item can never be done; its caller has to change it",
	"failed_too_often": "the item failed at as many servers as its route allows",
	"overload": "no start in time was likely: free_slots, slots and queue show the load at that moment; " +
		"check the lines before it for slow or lost servers; with workspace_share=beyond its workspace used more than its share",
	"server_limits": "servers name how many requests a second they take, and what that leaves made a start in time unlikely: limited_servers counts them, " +
		"slots_held_back their free slots that no request might use; look for `server names a limit`",
	"cold_servers": "servers have just started or become cold again, and the rate that they tolerate made a start in time unlikely; look for " +
		"`servers are cold` and `evacuation ended`",
	"too_large": "prompt and maximum output hold more tokens than the memory of a server of the service; the caller has to shorten the request",
	"answered":  "it was answered; took_ms and slot_wait_ms show whether in time, and a gap in the lines before it whether its host was paused",
	"completed": "the item has its result; due_in_ms shows whether in time, yields how often it yielded its slot",
	"placed":    "no line reports the request's end: it is still running, or its host's process ended; check the host",
	"too_late":  "the caller's timeout expired while the request waited for a slot",
	"no_server": "no server of the service could take requests; check the lines on servers before it",
	"crashing":  "the request had the maximum number of broken sends; every host refuses it for a minute",
	"crashing_part": "a part of the prompt has crashed several servers: crashing_parts of the line before names it, crashes how often; " +
		"look for `server crash reported` with the part among its candidates. Trials and new versions of the servers' software end this",
	"server_refused": "servers reported that they are full though the hosts counted free slots; something else uses them, or this host decided locally",
	"no_path_to_server": "this host doesn't reach servers that other hosts reach, and no host relayed the connection; nothing was sent: " +
		"look for `this host reaches no server directly` and `server's connection not relayed`",
	"server_unreachable":  "no connection to the server; it is gone or the network is interrupted",
	"answer_lost":         "the connection broke after the request was sent: it may have run, so the caller is never told that it didn't run",
	"answer_cut":          "the server's answer ended early",
	"server_silent":       "a server sent nothing until the request was late, and no other attempt was left; it may have run",
	"stream_cut":          "the server's stream ended in the middle; the route doesn't allow another server to resume it, or no attempt was left",
	"unsigned_answer":     "an answer without the server's signature was dropped",
	"events_out_of_order": "a resumed stream didn't continue after the last event",
	"server_failure":      "the server itself failed; its answer was forwarded",
	"no_slot_in_time":     "no slot became free before the caller's timeout expired or it disconnected",
	"caller_left":         "the caller closed its connection",
	"grace_period_over":   "the host's grace period ended before the request did; it may have run unless it was refused",
	"host_stopping":       "the host was stopping and had no time left for the request; stopping_ms tells since when. A caller repeats it at another host",
	"closed_by_host":      "a stopping host closed the connection of the request; see `stopping_ms` and `stopping: idle connections end`",
	"unknown_key":         "no workspace of the configuration in force has the key; compare configuration with the version in force",
	"no_route":            "no route of the configuration in force matches; compare configuration with the version in force",
	"no_configuration":    "the host had no configuration yet",
	"given_up":            "the item's time ended before it was done",
	"route_gone":          "the route of the batch job is no longer configured",
	"no_memory":           "bodies of other requests filled the memory reserved for bodies",
	"over_cap":            "the batch job exceeded the tokens that may wait on its route",
	"unavailable":         "the owner of the batch job's shard couldn't be reached, had no lease, or the store didn't answer; nothing was done",
	"unsettled":           "a write to the store got no answer; repeating the call resolves it",
	"stream_version_unknown": "the caller has a part of the stream, and at which software version that began isn't known: no host reported it, " +
		"and the service has several versions, had another one within the last 50 s, or its versions aren't known yet. versions of `stream resumed` are " +
		"those that take requests now; look for `software versions written` (releases), `software versions not read yet` and lost hosts before it",
	"server_versions_uncertain": "the caller has a part of the stream, and the placer's list of servers was outdated, so that they may have started again " +
		"as other software versions: see whether the store answers the dispatching host",
	"no_server_of_version": "the stream began at the version in `stream resumed`, and no server of that version is left that takes requests: " +
		"versions are those that do; check the lines on servers before it, and whether a release replaced the last one",
	"stream_of_other_service": "the stream began at the service in `stream resumed`, to which its route no longer leads; " +
		"compare configuration with the version in force",
	"stream resumed": "the stream was to be resumed at the version in the line, known by its evidence, and got no slot; " +
		"no line reports the request's end: check the host",
	"end_unconfirmed": "the server's stream ended with its connection only, and no other server could be asked whether it was complete; " +
		"answered: it was taken for complete, cut: other servers had had more after such an end",
	"resume_failed": "a server that was asked to resume the stream answered with a failure (server_status), and no attempt was left; " +
		"the caller's response was broken off",
	"events out of order":  "a resumed run didn't continue after the last event",
	"item's run broke off": "a server's stream of an item broke off; the item resumes after its last event",
}

func findCause(lines []Line, id string) string {
	restarted := make(map[string]bool)
	for n := len(lines) - 1; n >= 0; n-- {
		l := lines[n]
		if !l.concerns(id) {
			restarted[l.Host()] = restarted[l.Host()] || l.Message == "started"
			continue
		}
		if l.textField("outcome") == "placed" && restarted[l.Host()] {
			return "host_ended: the process that held the request ended before the request did, and started again; find out why it ended"
		}
		for _, k := range []string{l.textField("reason"), l.textField("outcome"), l.Message} {
			if text, ok := causeTexts[k]; ok {
				return k + ": " + text
			}
		}
	}
	return "no line reports a failure"
}
