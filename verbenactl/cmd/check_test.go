package cmd

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestCheck guards against a check whose exit code lets a faulty configuration pass in a script, or stops a sound one. Each file of
// testdata/check holds the arguments after "check", files that they name, and the expected exit code and output.
func TestCheck(t *testing.T) {
	files, err := filepath.Glob("testdata/check/*.txt")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			raw, err := os.ReadFile(f)
			qt.Assert(t, err, qt.IsNil)
			sections := strings.Split("\n"+string(raw), "\n-- ")
			args := strings.Fields(sections[0])
			dir := t.TempDir()
			want := make(map[string]string)
			for _, s := range sections[1:] {
				name, text, ok := strings.Cut(s, " --\n")
				qt.Assert(t, ok, qt.IsTrue)
				want[name] = text
				if strings.HasSuffix(name, ".json") {
					qt.Assert(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600), qt.IsNil)
				}
			}
			t.Chdir(dir)
			code, out, errText := execute(t, append([]string{"check"}, args...))
			qt.Check(t, strconv.Itoa(code), qt.Equals, strings.TrimSpace(want["exit"]))
			qt.Check(t, strings.TrimSpace(out), qt.Equals, strings.TrimSpace(want["output"]))
			qt.Check(t, strings.TrimSpace(errText), qt.Equals, strings.TrimSpace(want["error"]))
		})
	}
}

// TestCheckShowsNoKey guards against output that holds an API key.
func TestCheckShowsNoKey(t *testing.T) {
	t.Chdir("testdata/keys")
	for _, format := range []string{"text", "json"} {
		_, out, errText := execute(t, []string{"check", "next.json", "--against", "force.json", "--format", format})
		qt.Check(t, out, qt.Contains, "key 2 is the same as key 1")
		qt.Check(t, strings.Contains(out+errText, "secret"), qt.IsFalse, qt.Commentf("%s", out))
	}
	_, out, errText := execute(t, []string{"check", "broken.json"})
	qt.Check(t, errText, qt.Contains, "want an array")
	qt.Check(t, strings.Contains(out+errText, "secret"), qt.IsFalse, qt.Commentf("%s", errText))
}

// TestCheckWritesJSON guards against JSON that a script can't read, also where there are no findings.
func TestCheckWritesJSON(t *testing.T) {
	t.Chdir(t.TempDir())
	qt.Assert(t, os.WriteFile("next.json", []byte(`{"version":2}`), 0o600), qt.IsNil)
	_, out, _ := execute(t, []string{"check", "next.json", "--format", "json"})
	var report struct {
		File     string           `json:"file"`
		Warnings int              `json:"warnings"`
		Findings []map[string]any `json:"findings"`
	}
	qt.Assert(t, json.Unmarshal([]byte(out), &report), qt.IsNil)
	qt.Check(t, report.File, qt.Equals, "next.json")
	qt.Check(t, report.Warnings, qt.Equals, 1)
	qt.Check(t, report.Findings, qt.HasLen, 1)
}

// execute runs a command line and returns its exit code and output.
func execute(t *testing.T, args []string) (code int, out, errText string) {
	t.Helper()
	stdout, stderr := os.Stdout, os.Stderr
	defer func() { os.Stdout, os.Stderr = stdout, stderr }()
	os.Stdout, os.Stderr = tempFile(t), tempFile(t)
	code = Execute(args)
	return code, contents(t, os.Stdout), contents(t, os.Stderr)
}

func tempFile(t *testing.T) *os.File {
	t.Helper()
	f, err := os.CreateTemp(t.TempDir(), "output")
	qt.Assert(t, err, qt.IsNil)
	return f
}

func contents(t *testing.T, f *os.File) string {
	t.Helper()
	_, err := f.Seek(0, io.SeekStart)
	qt.Assert(t, err, qt.IsNil)
	raw, err := io.ReadAll(f)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, f.Close(), qt.IsNil)
	return string(raw)
}
