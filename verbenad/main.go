// Command verbenad is the daemon that runs on every host.
package main

import (
	"os"

	"verbenaledge.example/verbenad/cmd"
)

func main() {
	os.Exit(cmd.Execute(os.Args[1:]))
}
