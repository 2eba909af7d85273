package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"time"
)

const maxShards = 4096

type checker struct {
	faults *FieldErrors
}

func check(s *Settings, faults *FieldErrors) {
	c := checker{faults}
	c.name("host.id", string(s.Host.ID))
	c.name("host.zone", string(s.Host.Zone))
	c.address("caller.listen", s.Caller.Listen)
	c.between("caller.max_body_bytes", s.Caller.MaxBodyBytes, 1<<10, 16<<20)
	c.between("caller.max_file_bytes", s.Caller.MaxFileBytes, 1<<10, 512<<20)
	c.between("caller.max_concurrent", s.Caller.MaxConcurrent, 1, 1<<20)
	c.address("operator.listen", s.Operator.Listen)
	c.file("operator.token_file", s.Operator.TokenFile)
	c.address("peer.listen", s.Peer.Listen)
	c.file("peer.cert_file", s.Peer.CertFile)
	c.file("peer.key_file", s.Peer.KeyFile)
	c.file("peer.ca_file", s.Peer.CAFile)
	for i, seed := range s.Peer.Seeds {
		c.name(fmt.Sprintf("peer.seeds[%d].id", i), string(seed.ID))
		c.address(fmt.Sprintf("peer.seeds[%d].address", i), seed.Address)
	}
	c.address("platform.address", s.Platform.Address)
	c.length("platform.timeout", s.Platform.Timeout, 10*time.Millisecond, time.Minute)
	c.lease(s)
	c.batch(s)
	c.length("quota.grant_ttl", s.Quota.GrantTTL, 100*time.Millisecond, time.Minute)
	c.length("quota.share_ttl", s.Quota.ShareTTL, s.Quota.GrantTTL.std(), 5*time.Minute)
	c.length("quota.margin", s.Quota.Margin, 10*time.Millisecond, time.Minute)
	c.length("quota.patience", s.Quota.Patience, 10*time.Millisecond, time.Minute)
	c.length("backend.connect_timeout", s.Backend.ConnectTimeout, 10*time.Millisecond, time.Minute)
	c.length("backend.stall_timeout", s.Backend.StallTimeout, 100*time.Millisecond, 10*time.Minute)
	c.between("backend.attempts", s.Backend.Attempts, 1, 10)
	c.between("backend.pack", s.Backend.Pack, 0, 1024)
	c.length("drain.notice", s.Drain.Notice, 0, time.Minute)
	c.length("drain.limit", s.Drain.Limit, 0, time.Hour)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "json", "text")
}

func (c checker) lease(s *Settings) {
	c.length("lease.duration", s.Lease.Duration, 500*time.Millisecond, 5*time.Minute)
	c.length("lease.renew", s.Lease.Renew, 50*time.Millisecond, time.Minute)
	c.length("lease.margin", s.Lease.Margin, 10*time.Millisecond, time.Minute)
	c.between("lease.shards", s.Lease.Shards, 1, maxShards)
	if 2*s.Lease.Renew+s.Lease.Margin > s.Lease.Duration {
		c.fail("lease.renew", "two renewals and the margin must fit in the duration")
	}
}

func (c checker) batch(s *Settings) {
	c.between("batch.max_slots", s.Batch.MaxSlots, 0, 4096)
	c.between("batch.shared_slots", s.Batch.SharedSlots, 0, s.Batch.MaxSlots)
	c.between("batch.fixed_slots", s.Batch.FixedSlots, 0, 4096)
	c.length("batch.quiet", s.Batch.Quiet, 0, time.Minute)
	c.length("batch.growth", s.Batch.Growth, time.Millisecond, time.Minute)
	c.between("batch.attempts", s.Batch.Attempts, 1, 100)
	c.length("batch.item_timeout", s.Batch.ItemTimeout, time.Second, time.Hour)
	c.length("batch.flush", s.Batch.Flush, 10*time.Millisecond, time.Minute)
	c.length("batch.poll", s.Batch.Poll, 100*time.Millisecond, time.Minute)
	c.between("batch.max_held_bytes", s.Batch.MaxHeldBytes, 1<<20, 1<<30)
}

func (c checker) fail(path, format string, args ...any) {
	*c.faults = append(*c.faults, FieldError{path, fmt.Sprintf(format, args...)})
}

func (c checker) name(path, value string) {
	if value == "" || len(value) > 63 {
		c.fail(path, "must have 1 to 63 characters")
	}
}

func (c checker) address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.fail(path, "want an IP number and port, as in 10.0.0.1:8080, not %q", value)
	}
}

func (c checker) file(path, value string) {
	if value == "" {
		c.fail(path, "must name a file")
		return
	}
	if _, err := os.Stat(value); err != nil {
		c.fail(path, "%s", err)
	}
}

func (c checker) between(path string, value, low, high int) {
	if value < low || value > high {
		c.fail(path, "must be from %d to %d, not %d", low, high, value)
	}
}

func (c checker) length(path string, value Duration, low, high time.Duration) {
	if d := time.Duration(value); d < low || d > high {
		c.fail(path, "must be from %s to %s, not %s", low, high, d)
	}
}

func (c checker) oneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.fail(path, "must be one of %v, not %q", allowed, value)
	}
}

func sortedNames(m map[string]json.RawMessage) []string {
	return slices.Sorted(maps.Keys(m))
}
