// Package catalogcheck checks a configuration before it is sent to the hosts, and compares it with the version in force. It knows
// the product's types only and does no I/O.
package catalogcheck

import "fmt"

// Severity is how serious a finding is.
type Severity int

// The severities of findings.
const (
	// Change is a difference from the version in force that may be what the operator wants.
	Change Severity = iota
	// Warning is a statement that has another effect than it seems to have, or none.
	Warning
	// Error is a statement that the hosts can't follow, or that harms requests.
	Error
)

// String returns the severity as it is shown to operators.
func (s Severity) String() string {
	switch s {
	case Error:
		return "error"
	case Warning:
		return "warning"
	default:
		return "change"
	}
}

// Section is a part of a configuration.
type Section string

// The sections of a configuration.
const (
	// SectionTop is the configuration itself.
	SectionTop        Section = ""
	SectionRoutes     Section = "routes"
	SectionServices   Section = "services"
	SectionWorkspaces Section = "workspaces"
	SectionLimits     Section = "limits"
)

// Place is where in a configuration a finding is.
type Place struct {
	Section Section
	// Index is the position in the section, counted from 0, or notListed.
	Index int
	// Name is the entry's name.
	Name string
}

// notListed is the index of entries that only the version in force has.
const notListed = -1

// String returns the place with the product's names of sections.
func (p Place) String() string { return p.Format(string(p.Section)) }

// Format returns the place with the given name of its section.
func (p Place) Format(section string) string {
	switch {
	case p.Section == SectionTop:
		return "configuration"
	case p.Section == SectionLimits:
		return section
	case p.Index == notListed:
		return fmt.Sprintf("%s %q", section, p.Name)
	}
	return fmt.Sprintf("%s[%d] %q", section, p.Index, p.Name)
}

// Finding is an error, a warning or a change in a configuration.
type Finding struct {
	Severity Severity
	Place    Place
	// Fields are the fields concerned. The platform may have other names for them.
	Fields []Field
	// Text tells what is wrong or different, and what follows from it. It holds no API key.
	Text string
	// Action tells the operator what to do. It is empty where there may be nothing to do.
	Action string
}

// findings collects findings.
type findings struct {
	list []Finding
}

// report adds a finding on fields of the entry at a place.
func (c *findings) report(s Severity, p Place, text, action string, fields ...Field) {
	c.list = append(c.list, Finding{Severity: s, Place: p, Fields: fields, Text: text, Action: action})
}

// Worst returns the highest severity of findings, or Change if there are none.
func Worst(list []Finding) (worst Severity) {
	for _, f := range list {
		worst = max(worst, f.Severity)
	}
	return worst
}
