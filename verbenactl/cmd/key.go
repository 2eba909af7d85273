package cmd

import (
	"context"
	"errors"
	"fmt"
	"time"

	"verbenaledge.example/verbena/gossip"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/keys"
	"verbenaledge.example/verbena/platform"
	"verbenaledge.example/verbena/rules"
)

const (
	keysObject        = "config/keys"
	maxUpdateAttempts = 10
)

type keyIssue struct {
	NoWait bool `long:"no-wait" description:"don't wait until the key is accepted everywhere"`
	Args   struct {
		Workspace string `positional-arg-name:"WORKSPACE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute issues a key and prints it; the key can't be printed again.
func (c *keyIssue) Execute([]string) error {
	s, err := store()
	if err != nil {
		return err
	}
	ctx, cancel := withTimeout(callTimeout + inForceTimeout)
	defer cancel()
	w := ids.WorkspaceID(c.Args.Workspace)
	if err := checkWorkspaceExists(ctx, s, w); err != nil {
		return err
	}
	key, record := keys.Issue(w, time.Now())
	v, err := updateKeys(ctx, s, func(t *keys.Table) (*keys.Table, error) { return t.With(record), nil })
	if err != nil {
		return explainWriteError(err)
	}
	if err := printKey(key, record, v); err != nil || c.NoWait {
		return err
	}
	return waitUntilInForce(ctx, gossip.Keys, v)
}

func printKey(key string, r keys.Record, v ids.Version) error {
	if globalOptions.JSON {
		return printJSON(struct {
			ID      ids.KeyID   `json:"id"`
			Key     string      `json:"key"`
			Version ids.Version `json:"version"`
		}{r.ID, key, v})
	}
	fmt.Printf("id:  %s\nkey: %s\nThe key is not shown again.\n", r.ID, key)
	return nil
}

// checkWorkspaceExists returns ErrNotFound for a workspace that no rule names, such as a misspelt one.
func checkWorkspaceExists(ctx context.Context, s platform.Store, w ids.WorkspaceID) (err error) {
	o, err := s.Get(ctx, rulesObject)
	if err != nil {
		return err
	}
	r, err := rules.Parse(string(o.Value))
	if err != nil {
		return err
	}
	if !r.HasWorkspace(w) {
		return fmt.Errorf("no rule names workspace %q: %w", w, platform.ErrNotFound)
	}
	return nil
}

// updateKeys changes the key table. It retries when another operator's write came first.
func updateKeys(ctx context.Context, s platform.Store, change func(*keys.Table) (*keys.Table, error)) (v ids.Version, err error) {
	for range maxUpdateAttempts {
		v, err = updateKeysOnce(ctx, s, change)
		if !errors.Is(err, platform.ErrConflict) {
			return v, err
		}
	}
	return 0, err
}

func updateKeysOnce(ctx context.Context, s platform.Store, change func(*keys.Table) (*keys.Table, error)) (v ids.Version, err error) {
	o, err := s.Get(ctx, keysObject)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return 0, err
	}
	t, err := keys.Parse(o.Value)
	if err != nil {
		return 0, err
	}
	next, err := change(t)
	if err != nil {
		return 0, err
	}
	if o.Version == 0 {
		return s.Create(ctx, keysObject, next.Marshal())
	}
	return s.Update(ctx, keysObject, o.Version, next.Marshal())
}

type keyWithdraw struct {
	NoWait bool `long:"no-wait" description:"don't wait until the key is refused everywhere"`
	Args   struct {
		ID string `positional-arg-name:"KEY-ID" required:"yes"`
	} `positional-args:"yes"`
}

// Execute withdraws the key.
func (c *keyWithdraw) Execute([]string) error {
	s, err := store()
	if err != nil {
		return err
	}
	ctx, cancel := withTimeout(callTimeout + inForceTimeout)
	defer cancel()
	id := ids.KeyID(c.Args.ID)
	v, err := updateKeys(ctx, s, func(t *keys.Table) (*keys.Table, error) {
		next, found := t.Without(id)
		if !found {
			return nil, fmt.Errorf("key %s: %w", id, platform.ErrNotFound)
		}
		return next, nil
	})
	if errors.Is(err, platform.ErrNotFound) {
		return err
	}
	if err != nil {
		return fmt.Errorf("the key STILL WORKS: %w", explainWriteError(err))
	}
	if err := printRecorded("withdrawal of "+c.Args.ID, v); err != nil || c.NoWait {
		return err
	}
	return waitUntilInForce(ctx, gossip.Keys, v)
}

type keyList struct{}

// Execute lists the keys.
func (c *keyList) Execute([]string) error {
	s, err := store()
	if err != nil {
		return err
	}
	ctx, cancel := withTimeout(callTimeout)
	defer cancel()
	o, err := s.Get(ctx, keysObject)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	t, err := keys.Parse(o.Value)
	if err != nil {
		return err
	}
	if globalOptions.JSON {
		return printJSON(t.Records())
	}
	for _, r := range t.Records() {
		fmt.Printf("%-22s %-24s issued %s\n", r.ID, r.Workspace, r.Issued.Format(time.RFC3339))
	}
	return nil
}
