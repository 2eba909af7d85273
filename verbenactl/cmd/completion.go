package cmd

import "fmt"

type completionCommand struct{}

// completionScript lets the program itself say what may come next.
const completionScript = `_verbenactl() {
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[@]:0:$((COMP_CWORD + 1))}"))
}
complete -F _verbenactl verbenactl
`

// Execute writes the script.
func (c *completionCommand) Execute([]string) error {
	fmt.Print(completionScript)
	return nil
}
