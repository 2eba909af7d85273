// Command verbenalab provides stand-ins for the systems that verbenaledge works with, and tools to load and measure it.
package main

import (
	"os"

	"verbenaledge.example/verbenalab/cmd"
)

func main() {
	os.Exit(cmd.Execute(os.Args[1:]))
}
