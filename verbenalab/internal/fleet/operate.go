package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os/exec"

	"verbenaledge.example/verbena/timeline"
)

// ExitError is a verbenactl that failed.
type ExitError struct {
	Code   int
	Output string
}

// Error shows what the program wrote.
func (e *ExitError) Error() string {
	return fmt.Sprintf("verbenactl: exit code %d: %s", e.Code, e.Output)
}

// Operate runs verbenactl as an operator would and returns its output.
func (f *Fleet) Operate(ctx context.Context, args ...string) (out []byte, err error) {
	args = append([]string{"--platform", f.Platform, "--token-file", f.TokenFile()}, args...)
	out, err = exec.CommandContext(ctx, f.Program("verbenactl"), args...).Output()
	var failed *exec.ExitError
	if errors.As(err, &failed) {
		return out, &ExitError{failed.ExitCode(), string(failed.Stderr)}
	}
	return out, err
}

// IssueKey issues a key to a workspace.
func (f *Fleet) IssueKey(ctx context.Context, workspace string) (key string, err error) {
	key, _, err = f.IssueKeyID(ctx, workspace)
	return key, err
}

// IssueKeyID is like IssueKey and also returns the key's id.
func (f *Fleet) IssueKeyID(ctx context.Context, workspace string) (key, id string, err error) {
	out, err := f.Operate(ctx, "--json", "key", "issue", workspace)
	if err != nil {
		return "", "", err
	}
	var issued struct {
		ID  string `json:"id"`
		Key string `json:"key"`
	}
	err = json.Unmarshal(out, &issued)
	return issued.Key, issued.ID, err
}

// Events returns the time line of all daemons.
func (f *Fleet) Events(ctx context.Context) (events []timeline.Event, err error) {
	args := make([]string, 0, 2+2*len(f.Hosts))
	args = append(args, "--json", "timeline")
	for _, h := range f.Hosts {
		args = append(args, "--file", f.path(string(h.ID)+".timeline.jsonl"))
	}
	out, err := f.Operate(ctx, args...)
	if err != nil {
		return nil, err
	}
	return events, json.Unmarshal(out, &events)
}
