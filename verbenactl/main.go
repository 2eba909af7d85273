// Command verbenactl is the operators' command line tool.
package main

import (
	"os"

	"verbenaledge.example/verbenactl/cmd"
)

func main() {
	os.Exit(cmd.Execute(os.Args[1:]))
}
