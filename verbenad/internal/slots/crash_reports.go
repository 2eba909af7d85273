package slots

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"verbenaledge.example/verbena/crash"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbenad/internal/hostlink"
)

var (
	crashesReported = metrics.NewCounter("verbenad_server_crashes_reported_total")
	crashesRefuted  = metrics.NewCounter("verbenad_server_crashes_refuted_total")
	trials          = metrics.NewCounter("verbenad_crash_trials_total")
)

// crashReports are the crash reports in force at a time.
type crashReports struct {
	list []crash.Report
	at   time.Time
}

// asOf returns the reports with their ages as of now.
func (r crashReports) asOf(now time.Time) []crash.Report {
	list := make([]crash.Report, len(r.list))
	for i, report := range r.list {
		report.Age += now.Sub(r.at)
		list[i] = report
	}
	return list
}

// ReportAnswerBegan tells the placers of a slot that its server has begun to answer, if they wait for that.
func (c *Client) ReportAnswerBegan(slot *Slot) {
	if !slot.Trial {
		return
	}
	c.mu.Lock()
	defer c.unlockAndEnqueue()
	h, ok := c.held[slot.ticket]
	if !ok {
		return
	}
	if h.placer == PlacerLocal {
		c.localEvents = append(c.localEvents, dispatch.AnswerBegan{Key: dispatch.Key{Host: c.host, Ticket: slot.ticket}})
	}
	for _, conn := range []*placerConn{c.dispatcher, c.standby} {
		if conn.registered {
			conn.send(hostlink.Frame{AnswerBegan: slot.ticket})
		}
	}
}

// applyCrashReports replaces the crash reports by those of the placer that decides. The caller holds mu.
func (c *Client) applyCrashReports(list []crash.Report) {
	c.crashReports = crashReports{list, c.clock.Now()}
	c.localEvents = append(c.localEvents, dispatch.CrashReportsReceived{Reports: list, Replace: true})
	log.WithField("reports", len(list)).Info("crash reports received")
}

// broadcastCrashReports sends the crash reports in force to all connected hosts.
func (d *Dispatcher) broadcastCrashReports(list []crash.Report) {
	d.mu.Lock()
	d.crashReports = crashReports{list, d.clock.Now()}
	members := make([]*member, 0, len(d.members))
	for _, m := range d.members {
		members = append(members, m)
	}
	d.mu.Unlock()
	if d.role() == RoleDispatcher {
		d.saveCrashes(list)
	}
	for _, m := range members {
		_ = m.link.Send(hostlink.Frame{CrashReports: &hostlink.CrashReports{Reports: list}}) // the reader of a closed link handles the disconnect
	}
}

// sendCrashReports sends the crash reports in force to a host that connects.
func (d *Dispatcher) sendCrashReports(l *hostlink.Link) {
	d.mu.Lock()
	list := d.crashReports.asOf(d.clock.Now())
	d.mu.Unlock()
	if len(list) > 0 {
		_ = l.Send(hostlink.Frame{CrashReports: &hostlink.CrashReports{Reports: list}}) // the reader of a closed link handles the disconnect
	}
}

// logCrash logs that a scheduler of this host took the end of a request for a crash of its server.
func logCrash(cmd dispatch.CrashReported) {
	crashesReported.Inc()
	log.WithFields(log.Fields{
		"peer": cmd.Key.Host, "server": cmd.Report.Server, "service": cmd.Report.Service, "version": cmd.Report.Version,
		"candidates": cmd.Report.Candidates, "other_cause": cmd.Report.OtherCause, "crashes": cmd.Crashes,
	}).Info("server crash reported")
}

// logRefutedCrash logs that a server survived what a scheduler of this host took for its crash.
func logRefutedCrash(cmd dispatch.CrashRefuted) {
	crashesRefuted.Inc()
	log.WithFields(log.Fields{
		"peer": cmd.Key.Host, "server": cmd.Report.Server, "service": cmd.Report.Service, "version": cmd.Report.Version,
		"candidates": cmd.Report.Candidates,
	}).Info("server crash refuted")
}
