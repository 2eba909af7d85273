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

// ErrTooLarge means that the file exceeds the platform's limit for values. The services must then be split
// over several deployments.
var ErrTooLarge = fmt.Errorf("rules file is larger than %d bytes", MaxBytes)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Parse parses a whole rules file. Its error joins a LineError for each fault in a line.
func Parse(text string) (r *Rules, err error) {
	if len(text) > MaxBytes {
		return nil, ErrTooLarge
	}
	p := &parser{rules: Empty()}
	for i, l := range strings.Split(text, "\n") {
		p.line = i + 1
		p.parseLine(l)
	}
	p.checkReferences()
	if len(p.errs) > 0 {
		return nil, errors.Join(p.errs...)
	}
	return p.rules, nil
}

type parser struct {
	rules *Rules
	line  int
	errs  []error
	// references records where services are used, so that undeclared ones can be reported at the end.
	references []reference
}

// reference is a line that uses a service.
type reference struct {
	line    int
	service ids.ServiceName
}

func (p *parser) addError(format string, args ...any) {
	p.errs = append(p.errs, LineError{Line: p.line, Reason: fmt.Sprintf(format, args...)})
}

func (p *parser) parseLine(line string) {
	if len(line) > maxLineBytes {
		p.addError("longer than %d bytes", maxLineBytes)
		return
	}
	body, comment, hasComment := strings.Cut(line, "#")
	fields := strings.Fields(body)
	if len(fields) == 0 {
		return
	}
	askedBy := strings.TrimSpace(comment)
	if !hasComment || askedBy == "" {
		p.addError("a comment must name who asked for the rule, as in `# asked by ana`")
		return
	}
	switch fields[0] {
	case "service":
		p.parseService(fields[1:], askedBy)
	case "allow":
		p.parseAllow(fields[1:], askedBy)
	case "open":
		p.parseOpen(fields[1:], askedBy)
	default:
		p.addError("unknown rule %q: want service, allow or open", fields[0])
	}
}

func (p *parser) parseService(fields []string, askedBy string) {
	name, opts, ok := p.nameAndOptions(fields, "service NAME kind=model|plain")
	if !ok {
		return
	}
	s := Service{Name: ids.ServiceName(name), AskedBy: askedBy}
	for _, k := range slices.Sorted(maps.Keys(opts)) {
		v := opts[k]
		switch k {
		case "kind":
			s.Kind = Kind(v)
		case "fenced":
			s.Fenced = p.parseYesNo(k, v)
		case "repeatable":
			s.Repeatable = p.parseYesNo(k, v)
		default:
			p.addError("unknown option %q of a service", k)
		}
	}
	if s.Kind != KindModel && s.Kind != KindPlain {
		p.addError("service %s: kind must be model or plain", name)
		return
	}
	if _, dup := p.rules.Services[s.Name]; dup {
		p.addError("service %s is declared twice", name)
		return
	}
	s.Repeatable = s.Repeatable || s.Kind == KindModel
	p.rules.Services[s.Name] = s
}

func (p *parser) parseAllow(fields []string, askedBy string) {
	if len(fields) < 2 || !namePattern.MatchString(fields[0]) {
		p.addError("want allow WORKSPACE SERVICE rate=N/s burst=N")
		return
	}
	name, opts, ok := p.nameAndOptions(fields[1:], "allow WORKSPACE SERVICE rate=N/s burst=N")
	if !ok {
		return
	}
	a := Allow{Workspace: ids.WorkspaceID(fields[0]), Service: ids.ServiceName(name), AskedBy: askedBy}
	a.Limit = p.parseLimit(opts)
	if v, given := opts["batch"]; given {
		a.BatchWeight = p.parseNumber("batch", v, 0, 1000)
		delete(opts, "batch")
	}
	p.rejectUnknown(opts)
	k := allowKey{a.Workspace, a.Service}
	if _, dup := p.rules.allows[k]; dup {
		p.addError("allow %s %s is declared twice", a.Workspace, a.Service)
		return
	}
	p.rules.allows[k] = a
	p.references = append(p.references, reference{p.line, a.Service})
}

func (p *parser) parseOpen(fields []string, askedBy string) {
	name, opts, ok := p.nameAndOptions(fields, "open SERVICE rate=N/s burst=N")
	if !ok {
		return
	}
	o := Open{Service: ids.ServiceName(name), AskedBy: askedBy}
	o.Limit = p.parseLimit(opts)
	p.rejectUnknown(opts)
	if _, dup := p.rules.Opens[o.Service]; dup {
		p.addError("open %s is declared twice", name)
		return
	}
	p.rules.Opens[o.Service] = o
	p.references = append(p.references, reference{p.line, o.Service})
}

// nameAndOptions parses a name and the options that follow it.
func (p *parser) nameAndOptions(fields []string, want string) (name string, opts map[string]string, ok bool) {
	if len(fields) == 0 || !namePattern.MatchString(fields[0]) {
		p.addError("want %s, names in lower case, digits, dot, dash", want)
		return "", nil, false
	}
	opts = map[string]string{}
	for _, f := range fields[1:] {
		k, v, found := strings.Cut(f, "=")
		if !found || v == "" {
			p.addError("option %q: want name=value", f)
			return "", nil, false
		}
		if _, dup := opts[k]; dup {
			p.addError("option %q is given twice", k)
			return "", nil, false
		}
		opts[k] = v
	}
	return fields[0], opts, true
}

func (p *parser) parseLimit(opts map[string]string) Limit {
	rate, hasUnit := strings.CutSuffix(opts["rate"], "/s")
	burst := opts["burst"]
	delete(opts, "rate")
	delete(opts, "burst")
	if !hasUnit {
		p.addError("rate must be given in requests a second, as in rate=40/s")
		return Limit{}
	}
	return Limit{
		RatePerSecond: p.parseNumber("rate", rate, 0.001, 1e6),
		Burst:         p.parseNumber("burst", burst, 1, 1e6),
	}
}

func (p *parser) parseNumber(name, text string, low, high float64) float64 {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || !(n >= low && n <= high) {
		p.addError("%s must be a number from %g to %g, not %q", name, low, high, text)
		return 0
	}
	return n
}

func (p *parser) parseYesNo(name, text string) bool {
	if text != "yes" && text != "no" {
		p.addError("%s must be yes or no, not %q", name, text)
	}
	return text == "yes"
}

func (p *parser) rejectUnknown(opts map[string]string) {
	for _, k := range slices.Sorted(maps.Keys(opts)) {
		p.addError("unknown option %q", k)
	}
}

func (p *parser) checkReferences() {
	for _, r := range p.references {
		if _, ok := p.rules.Services[r.service]; !ok {
			p.line = r.line
			p.addError("service %s is not declared", r.service)
		}
	}
}
