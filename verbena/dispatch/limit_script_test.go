package dispatch

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/limit"
)

// limitEvent parses an event on the limits of servers; it returns nil for any other.
func (s *script) limitEvent(t *testing.T, name string, words []string, o options) Event {
	switch name {
	case "limit": // an answer to f1/2 names a limit, as "f1/2 server=a 3"
		return LimitStated{Host: host(words[0]), Report: LimitReport{
			Ticket: ticket(words[0]), Server: ids.BackendID(o["server"]), Statement: limitStatement(t, words[2]),
		}}
	case "service":
		return servicesChanged(words, o)
	case "limits": // those that the dispatcher sends its hosts, as "a:3,b:none"
		return LimitsReceived{Limits: serverLimits(t, words[0])}
	case "independent_hosts":
		return IndependentHosts{Count: o.number("count", 1), EntryHosts: o.number("entry_hosts", 0), Rank: o.number("rank", 0)}
	case "local": // the scheduler is that of a host
		s.scheduler = New("f1")
		return ServersChanged{Servers: s.servers}
	case "lose_placers": // the host begins to decide locally
		return RatesChanged{Rates: s.rates, ResetTokens: true}
	}
	return nil
}

func limitStatement(t *testing.T, word string) limit.Statement {
	switch word {
	case "none":
		return limit.Statement{}
	case "unreadable":
		return limit.Statement{Kind: limit.Unreadable}
	}
	perSecond, err := strconv.ParseFloat(word, 64)
	qt.Assert(t, err, qt.IsNil)
	return limit.Statement{Kind: limit.Named, PerSecond: limit.RequestsPerSecond(perSecond)}
}

// serverLimits parses limits of servers as SERVER:LIMIT, or SERVER:LIMIT:SENT with the recent sends of a host.
func serverLimits(t *testing.T, list string) (limits []ServerLimit) {
	for word := range strings.SplitSeq(list, ",") {
		parts := strings.Split(word, ":")
		l := ServerLimit{Server: ids.BackendID(parts[0]), Statement: limitStatement(t, parts[1]), Age: time.Second}
		if len(parts) > 2 {
			n, err := strconv.Atoi(parts[2])
			qt.Assert(t, err, qt.IsNil)
			l.Sent = n
		}
		limits = append(limits, l)
	}
	return limits
}

func describeLimits(list []ServerLimit) string {
	text := "limits"
	for _, l := range list {
		text += " " + string(l.Server) + ":"
		if l.Statement.Kind != limit.Named {
			text += l.Statement.Kind.String()
			continue
		}
		text += fmt.Sprintf("%g", l.Statement.PerSecond)
	}
	return text
}
