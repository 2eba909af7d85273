// Command case plays the scripted cases of the second review against the system's own processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripted cases by name. A case returns the breaks of its rule that it saw.
var cases = map[string]func(record string, trouble bool) (breaks []string, err error){
	"route-removed":      routeRemoved,
	"identical-requests": identicalRequests,
	"large-jobs":         largeJobs,
	"many-items":         manyItems,
	"slow-readers":       slowReaders,
	"expect-version":     expectVersion,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: case NAME RECORD")
		os.Exit(exitNotRun)
	}
	// A case that is stopped hasn't run. The processes that it started end with it, by Pdeathsig.
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		os.Exit(exitNotRun)
	}()
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, record string) (code int) {
	breaks, err := cases[name](record, os.Getenv("TROUBLE") != "0")
	for _, b := range breaks {
		fmt.Println("broken:", b)
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	case len(breaks) > 0:
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}
