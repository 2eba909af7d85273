// Command verbenalab holds stand-ins and tools to load and measure verbenaledge.
package main

import (
	"os"

	"verbenaledge.example/verbenalab/cmd"
)

func main() {
	os.Exit(cmd.Execute(os.Args[1:]))
}
