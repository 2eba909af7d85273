package cmd

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// platformNames matches names of the platform that may occur only in its adapter.
var platformNames = regexp.MustCompile(
	`X-Verbenaledge-|VERBENALEDGE_CONFIG|"/?(lots|items|objects|retirements)/|` +
		`"(nodeName|pathPrefix|trafficSplit|ratePerS|burstSize|apiKeys|runTargetMs|maxWaitS|sloMs|maxAttempts|canResume|gapTargetMs|` +
		`portRange|seedNodes|historyTtlS|serializable|hasMore|coldMs)"`)

// TestPlatformBoundary checks that only the programs' command lines import the platform's adapter, and that the
// platform's names occur only in the adapter. The soak test in verbenalab simulates the platform, so it may import the
// adapter's stand-ins.
func TestPlatformBoundary(t *testing.T) {
	for _, m := range []string{"verbena", "verbenad", "verbenactl", "verbenalab"} {
		err := filepath.WalkDir(filepath.Join("..", "..", m), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
				return err
			}
			if !strings.Contains(path, filepath.Join(m, "cmd")) {
				checkImports(t, path)
			}
			if filepath.Base(path) == "boundary_test.go" {
				return nil // this file contains the names itself
			}
			raw, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			qt.Check(t, platformNames.FindString(string(raw)), qt.Equals, "", qt.Commentf("%s", path))
			return nil
		})
		qt.Assert(t, err, qt.IsNil)
	}
}

func checkImports(t *testing.T, path string) {
	f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	qt.Assert(t, err, qt.IsNil)
	for _, i := range f.Imports {
		if i.Path.Value == `"verbenaledge.example/platform/standin"` && strings.Contains(path, filepath.Join("verbenalab", "internal", "soak")) {
			continue
		}
		qt.Check(t, strings.HasPrefix(i.Path.Value, `"verbenaledge.example/platform`), qt.IsFalse, qt.Commentf("%s", path))
	}
}
