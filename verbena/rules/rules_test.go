package rules_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/rules"
)

// TestScripts parses the rules in each file of testdata and compares the result with the one that follows them.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	qt.Assert(t, err, qt.IsNil)
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			data, err := os.ReadFile(f)
			qt.Assert(t, err, qt.IsNil)
			text, want, _ := strings.Cut(string(data), "-- want --\n")
			qt.Assert(t, format(rules.Parse(text)), qt.Equals, want)
		})
	}
}

func format(r *rules.Rules, err error) string {
	if err != nil {
		return err.Error() + "\n"
	}
	var b strings.Builder
	fmt.Fprint(&b, "services")
	for _, n := range r.ServiceNames() {
		fmt.Fprint(&b, " ", n)
	}
	fmt.Fprintln(&b)
	for _, a := range r.Allows() {
		fmt.Fprintln(&b, "allow", a.Workspace, a.Service, a.Limit.RatePerSecond, a.Limit.Burst, a.BatchWeight)
	}
	for _, o := range r.Opens {
		fmt.Fprintln(&b, "open", o.Service, o.Limit.RatePerSecond, o.Limit.Burst)
	}
	return b.String()
}

// FuzzParse checks that no input makes the parser panic, or accept an allow rule without a declared
// service, a limit or the name of who asked for it.
func FuzzParse(f *testing.F) {
	for _, n := range []string{"testdata/good.txt", "testdata/bad.txt"} {
		data, err := os.ReadFile(n)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(data))
	}
	f.Fuzz(func(t *testing.T, text string) {
		r, err := rules.Parse(text)
		if err != nil {
			return
		}
		for _, a := range r.Allows() {
			if _, ok := r.Services[a.Service]; !ok || !(a.Limit.RatePerSecond > 0) || a.Limit.Burst < 1 || a.AskedBy == "" {
				t.Fatalf("accepted %+v", a)
			}
		}
	})
}
