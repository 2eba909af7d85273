package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os/exec"

	"verbenaledge.example/verbena/timeline"
)

// ExitError reports that verbenactl exited with a code other than 0.
type ExitError struct {
	Code   int
	Output string
}

// Error returns the exit code and what verbenactl wrote to standard error.
func (e *ExitError) Error() string {
	return fmt.Sprintf("verbenactl: exit code %d: %s", e.Code, e.Output)
}

// Verbenactl runs verbenactl with the fleet's platform and token, and returns its standard output.
func (f *Fleet) Verbenactl(ctx context.Context, args ...string) (out []byte, err error) {
	args = append([]string{"--platform", f.PlatformAddress, "--token-file", f.TokenFile()}, args...)
	out, err = exec.CommandContext(ctx, f.Program("verbenactl"), args...).Output()
	var failed *exec.ExitError
	if errors.As(err, &failed) {
		return out, &ExitError{failed.ExitCode(), string(failed.Stderr)}
	}
	return out, err
}

// IssueKey issues an API key to a workspace.
func (f *Fleet) IssueKey(ctx context.Context, workspace string) (key string, err error) {
	key, _, err = f.IssueKeyWithID(ctx, workspace)
	return key, err
}

// IssueKeyWithID is like IssueKey and also returns the key's ID.
func (f *Fleet) IssueKeyWithID(ctx context.Context, workspace string) (key, id string, err error) {
	out, err := f.Verbenactl(ctx, "--json", "key", "issue", workspace)
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

// Events returns the events in the timeline files of all daemons.
func (f *Fleet) Events(ctx context.Context) (events []timeline.Event, err error) {
	args := make([]string, 0, 2+2*len(f.Hosts))
	args = append(args, "--json", "timeline")
	for _, h := range f.Hosts {
		args = append(args, "--file", f.path(string(h.ID)+".timeline.jsonl"))
	}
	out, err := f.Verbenactl(ctx, args...)
	if err != nil {
		return nil, err
	}
	return events, json.Unmarshal(out, &events)
}
