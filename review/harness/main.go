// Command harness plays the cases of the review: it starts the project's programs as separate processes on loopback
// addresses, with stand-ins of the platform's store, of replicas and of clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var current *fleet

// plays are the cases and trials by name. Each returns how the rule was broken, nothing if it held.
var plays = make(map[string]func(f *fleet, trouble bool) (broken []string))

func check(err error) {
	if err != nil {
		cannotRun("%v", err)
	}
}

// cannotRun ends a case that couldn't be played.
func cannotRun(format string, args ...any) {
	fmt.Printf("could not run: "+format+"\n", args...)
	if current != nil {
		current.logf("could not run: "+format, args...)
		current.close()
	}
	os.Exit(exitNotRun)
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Println("usage: harness CASE RECORD")
		os.Exit(exitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	f := newFleet(os.Args[2])
	current = f
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		cannotRun("ended from outside")
	}()
	f.logf("%s, disruption: %v", os.Args[1], trouble)
	broken := plays[os.Args[1]](f, trouble)
	for _, b := range broken {
		f.logf("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	if len(broken) == 0 {
		f.logf("the rule held")
		fmt.Println("the rule held")
	}
	f.close()
	if len(broken) > 0 {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
