package rules

import (
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"verbenaledge.example/verbena/ids"
)

// MaxBytes is the size limit of a rules file.
const MaxBytes = 900 << 10

const maxLineBytes = 1024

// ErrTooLarge says that the file doesn't fit the platform's value limit; split services over deployments.
var ErrTooLarge = fmt.Errorf("rules file is larger than %d bytes", MaxBytes)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Parse reads a whole rules file. The error joins one LineError for each wrong line.
func Parse(text string) (r *Rules, err error) {
	if len(text) > MaxBytes {
		return nil, ErrTooLarge
	}
	p := &parser{rules: Empty()}
	for i, line := range strings.Split(text, "\n") {
		p.line = i + 1
		p.parseLine(line)
	}
	p.checkReferences()
	if len(p.faults) > 0 {
		return nil, errors.Join(p.faults...)
	}
	return p.rules, nil
}

type parser struct {
	rules  *Rules
	line   int
	faults []error
	// references remember where a service was named, for faults found at the end.
	references []reference
}

type reference struct {
	line    int
	service ids.ServiceName
}

func (p *parser) fail(format string, args ...any) {
	p.faults = append(p.faults, LineError{Line: p.line, Reason: fmt.Sprintf(format, args...)})
}

func (p *parser) parseLine(line string) {
	if len(line) > maxLineBytes {
		p.fail("longer than %d bytes", maxLineBytes)
		return
	}
	body, comment, hasComment := strings.Cut(line, "#")
	fields := strings.Fields(body)
	if len(fields) == 0 {
		return
	}
	asked := strings.TrimSpace(comment)
	if !hasComment || asked == "" {
		p.fail("a comment must name who asked for the rule, as in `# asked by ana`")
		return
	}
	switch fields[0] {
	case "service":
		p.parseService(fields[1:], asked)
	case "allow":
		p.parseAllow(fields[1:], asked)
	case "open":
		p.parseOpen(fields[1:], asked)
	default:
		p.fail("unknown rule %q: want service, allow or open", fields[0])
	}
}

func (p *parser) parseService(fields []string, asked string) {
	name, opts, ok := p.head(fields, "service NAME kind=model|plain")
	if !ok {
		return
	}
	s := Service{Name: ids.ServiceName(name), AskedBy: asked}
	for _, k := range slices.Sorted(maps.Keys(opts)) {
		v := opts[k]
		switch k {
		case "kind":
			s.Kind = Kind(v)
		case "fenced":
			s.Fenced = p.yesNo(k, v)
		case "repeatable":
			s.Repeatable = p.yesNo(k, v)
		default:
			p.fail("unknown option %q of a service", k)
		}
	}
	if s.Kind != KindModel && s.Kind != KindPlain {
		p.fail("service %s: kind must be model or plain", name)
		return
	}
	if _, dup := p.rules.Services[s.Name]; dup {
		p.fail("service %s stands twice", name)
		return
	}
	s.Repeatable = s.Repeatable || s.Kind == KindModel
	p.rules.Services[s.Name] = s
}

func (p *parser) parseAllow(fields []string, asked string) {
	if len(fields) < 2 || !namePattern.MatchString(fields[0]) {
		p.fail("want allow WORKSPACE SERVICE rate=N/s burst=N")
		return
	}
	name, opts, ok := p.head(fields[1:], "allow WORKSPACE SERVICE rate=N/s burst=N")
	if !ok {
		return
	}
	a := Allow{Workspace: ids.WorkspaceID(fields[0]), Service: ids.ServiceName(name), AskedBy: asked}
	a.Limit = p.limit(opts)
	if v, given := opts["batch"]; given {
		a.BatchWeight = p.number("batch", v, 0, 1000)
		delete(opts, "batch")
	}
	p.noMore(opts)
	k := allowKey{a.Workspace, a.Service}
	if _, dup := p.rules.allows[k]; dup {
		p.fail("allow %s %s stands twice", a.Workspace, a.Service)
		return
	}
	p.rules.allows[k] = a
	p.references = append(p.references, reference{p.line, a.Service})
}

func (p *parser) parseOpen(fields []string, asked string) {
	name, opts, ok := p.head(fields, "open SERVICE rate=N/s burst=N")
	if !ok {
		return
	}
	o := Open{Service: ids.ServiceName(name), AskedBy: asked}
	o.Limit = p.limit(opts)
	p.noMore(opts)
	if _, dup := p.rules.Opens[o.Service]; dup {
		p.fail("open %s stands twice", name)
		return
	}
	p.rules.Opens[o.Service] = o
	p.references = append(p.references, reference{p.line, o.Service})
}

// head reads a name and the options that follow it.
func (p *parser) head(fields []string, want string) (name string, opts map[string]string, ok bool) {
	if len(fields) == 0 || !namePattern.MatchString(fields[0]) {
		p.fail("want %s, names in lower case, digits, dot, dash", want)
		return "", nil, false
	}
	opts = map[string]string{}
	for _, f := range fields[1:] {
		k, v, found := strings.Cut(f, "=")
		if !found || v == "" {
			p.fail("option %q: want name=value", f)
			return "", nil, false
		}
		if _, dup := opts[k]; dup {
			p.fail("option %q stands twice", k)
			return "", nil, false
		}
		opts[k] = v
	}
	return fields[0], opts, true
}

func (p *parser) limit(opts map[string]string) Limit {
	rate, hasUnit := strings.CutSuffix(opts["rate"], "/s")
	burst := opts["burst"]
	delete(opts, "rate")
	delete(opts, "burst")
	if !hasUnit {
		p.fail("rate must be given in requests a second, as in rate=40/s")
		return Limit{}
	}
	return Limit{
		RatePerSecond: p.number("rate", rate, 0.001, 1e6),
		Burst:         p.number("burst", burst, 1, 1e6),
	}
}

func (p *parser) number(name, text string, low, high float64) float64 {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || !(n >= low && n <= high) {
		p.fail("%s must be a number from %g to %g, not %q", name, low, high, text)
		return 0
	}
	return n
}

func (p *parser) yesNo(name, text string) bool {
	if text != "yes" && text != "no" {
		p.fail("%s must be yes or no, not %q", name, text)
	}
	return text == "yes"
}

func (p *parser) noMore(opts map[string]string) {
	for _, k := range slices.Sorted(maps.Keys(opts)) {
		p.fail("unknown option %q", k)
	}
}

func (p *parser) checkReferences() {
	for _, ref := range p.references {
		if _, ok := p.rules.Services[ref.service]; !ok {
			p.line = ref.line
			p.fail("service %s is not declared", ref.service)
		}
	}
}
