package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbenad/internal/settings"
)

// TestScripts parses the settings in each file of testdata and compares the errors with those listed after them.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	qt.Assert(t, err, qt.IsNil)
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			data, err := os.ReadFile(f)
			qt.Assert(t, err, qt.IsNil)
			text, want, _ := strings.Cut(string(data), "-- want --\n")
			got := "good\n"
			if _, err := settings.Parse([]byte(text)); err != nil {
				got = err.Error() + "\n"
			}
			qt.Assert(t, got, qt.Equals, want)
		})
	}
}

// FuzzParse checks that no input makes Parse panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"host":{"id":"a"},"lease":{"duration":"1s"}}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = settings.Parse(data)
	})
}
