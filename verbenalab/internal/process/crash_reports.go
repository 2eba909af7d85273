package process

import (
	"fmt"
	"os"
	"slices"
	"strings"
)

// maxCrashReportLines bounds the lines of a crash report.
const maxCrashReportLines = 12

// crashMarks are what the Go runtime, net/http and the race detector write about a fault of a program. Lines of the
// programs' own logs are in JSON and contain none of them.
var crashMarks = []string{"panic:", "panic serving", "fatal error:", "WARNING: DATA RACE"}

// CrashReports returns the crash reports in the output of a program, from an offset of its log on. Each starts with a line
// that has one of crashMarks.
func CrashReports(log string, offset int64) (reports []string, err error) {
	raw, err := os.ReadFile(log)
	if err != nil {
		return nil, fmt.Errorf("look for crash reports: %w", err)
	}
	lines := strings.Split(string(raw[min(int64(len(raw)), offset):]), "\n")
	isMarked := func(line string) bool {
		return slices.ContainsFunc(crashMarks, func(mark string) bool { return strings.Contains(line, mark) })
	}
	for n := 0; n < len(lines); n++ {
		if !isMarked(lines[n]) {
			continue
		}
		end := min(len(lines), n+maxCrashReportLines)
		reports = append(reports, strings.TrimSpace(strings.Join(lines[n:end], "\n")))
		n = end - 1
	}
	return reports, nil
}
