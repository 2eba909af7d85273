package cmd

import (
	"cmp"
	"fmt"
	"os"
	"slices"

	adapter "verbenaledge.example/platform"
	"verbenaledge.example/verbena/catalogcheck"
)

type checkCommand struct {
	Against string  `long:"against" value-name:"FILE" description:"the configuration in force; differences from it are shown"`
	Format  string  `long:"format" choice:"text" choice:"json" default:"text" description:"how to write the findings"`
	Args    fileArg `positional-args:"yes"`
}

// checkReport is the result of a check.
type checkReport struct {
	File     string         `json:"file"`
	Against  string         `json:"against,omitempty"`
	Errors   int            `json:"errors"`
	Warnings int            `json:"warnings"`
	Changes  int            `json:"changes"`
	Findings []checkFinding `json:"findings"`
}

// checkFinding is a finding with the names of the platform's format.
type checkFinding struct {
	Severity string   `json:"severity"`
	Place    string   `json:"place"`
	Fields   []string `json:"fields,omitempty"`
	Text     string   `json:"text"`
	Action   string   `json:"action,omitempty"`
}

// Execute checks a configuration and prints the findings.
func (c *checkCommand) Execute([]string) error {
	findings, err := c.check()
	if err != nil {
		return fmt.Errorf("%w: %w", errUnreadable, err)
	}
	slices.SortStableFunc(findings, func(a, b catalogcheck.Finding) int { return cmp.Compare(b.Severity, a.Severity) })
	report := c.report(findings)
	if c.Format == "json" || globalOptions.JSON {
		if err := printJSON(report); err != nil {
			return err
		}
	} else {
		report.print()
	}
	switch catalogcheck.Worst(findings) {
	case catalogcheck.Error:
		return errCheckErrors
	case catalogcheck.Warning:
		return errCheckWarnings
	default:
		return nil
	}
}

func (c *checkCommand) check() (findings []catalogcheck.Finding, err error) {
	draft, findings, err := readConfiguration(c.Args.File)
	if err != nil {
		return nil, err
	}
	findings = append(findings, catalogcheck.Check(draft)...)
	if c.Against == "" {
		return findings, nil
	}
	inForce, _, err := readConfiguration(c.Against)
	if err != nil {
		return nil, err
	}
	return append(findings, catalogcheck.Compare(inForce, draft)...), nil
}

func readConfiguration(file string) (draft catalogcheck.Draft, findings []catalogcheck.Finding, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return draft, nil, err
	}
	draft, findings, err = adapter.Decoder{}.Draft(data)
	if err != nil {
		return draft, nil, fmt.Errorf("%s: %w", file, err)
	}
	return draft, findings, nil
}

func (c *checkCommand) report(findings []catalogcheck.Finding) checkReport {
	r := checkReport{File: c.Args.File, Against: c.Against, Findings: make([]checkFinding, 0, len(findings))}
	for _, f := range findings {
		place, fields := adapter.Decoder{}.FindingPlace(f)
		r.Findings = append(r.Findings, checkFinding{f.Severity.String(), place, fields, f.Text, f.Action})
		switch f.Severity {
		case catalogcheck.Error:
			r.Errors++
		case catalogcheck.Warning:
			r.Warnings++
		default:
			r.Changes++
		}
	}
	return r
}

// print writes a report as text.
func (r checkReport) print() {
	for _, f := range r.Findings {
		fmt.Println(f)
	}
	fmt.Printf("%s: errors %d, warnings %d, changes %d\n", r.File, r.Errors, r.Warnings, r.Changes)
}

// String returns the finding's line, with a second one that tells what to do.
func (f checkFinding) String() string {
	line := fmt.Sprintf("%-7s %s", f.Severity, f.Place)
	for i, n := range f.Fields {
		separator := ", "
		if i == 0 {
			separator = " "
		}
		line += separator + n
	}
	line += ": " + f.Text
	if f.Action != "" {
		line += "\n        do: " + f.Action
	}
	return line
}
