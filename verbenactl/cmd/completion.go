package cmd

import "fmt"

type completionCommand struct{}

// completionScript runs verbenactl itself for the completions; go-flags answers them.
const completionScript = `_verbenactl() {
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[@]:0:$((COMP_CWORD + 1))}"))
}
complete -F _verbenactl verbenactl
`

// Execute prints the completion script.
func (c *completionCommand) Execute([]string) error {
	fmt.Print(completionScript)
	return nil
}
