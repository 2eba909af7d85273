package soak

import (
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestSilentServersEndNoAnswer guards against answers that end, and requests that are refused, because sound servers were silent for a
// second or so: callers go on with open connections while entry hosts are stopped in order and all servers fall silent.
func TestSilentServersEndNoAnswer(t *testing.T) {
	c := qt.New(t)
	r, err := MeasureSilentServers(t.Context(), Options{
		ProgramsDir: programsDir, Dir: t.TempDir(), Seed: 1, Subnet: fmt.Sprintf("72.%d", 1+os.Getpid()%250),
	}, silenceCount)
	c.Assert(err, qt.IsNil, qt.Commentf("are the programs built? `make build`"))
	t.Logf("%d answered, refused %v, reasons %v", r.Answered, r.Refused, r.Reasons)
	c.Check(r.Lost, qt.HasLen, 0)
	c.Check(r.Reasons["refused crashing"], qt.Equals, 0)
}
