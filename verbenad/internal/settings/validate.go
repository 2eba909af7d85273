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

type validator struct {
	errs *FieldErrors
}

func validate(s *Settings, errs *FieldErrors) {
	v := validator{errs}
	v.name("host.id", string(s.Host.ID))
	v.name("host.zone", string(s.Host.Zone))
	v.address("caller.listen", s.Caller.Listen)
	v.intBetween("caller.max_body_bytes", s.Caller.MaxBodyBytes, 1<<10, 16<<20)
	v.intBetween("caller.max_file_bytes", s.Caller.MaxFileBytes, 1<<10, 512<<20)
	v.intBetween("caller.max_concurrent", s.Caller.MaxConcurrent, 1, 1<<20)
	v.address("operator.listen", s.Operator.Listen)
	v.file("operator.token_file", s.Operator.TokenFile)
	v.address("peer.listen", s.Peer.Listen)
	v.file("peer.cert_file", s.Peer.CertFile)
	v.file("peer.key_file", s.Peer.KeyFile)
	v.file("peer.ca_file", s.Peer.CAFile)
	for i, sd := range s.Peer.Seeds {
		v.name(fmt.Sprintf("peer.seeds[%d].id", i), string(sd.ID))
		v.address(fmt.Sprintf("peer.seeds[%d].address", i), sd.Address)
	}
	v.address("platform.address", s.Platform.Address)
	v.durationBetween("platform.timeout", s.Platform.Timeout, 10*time.Millisecond, time.Minute)
	v.lease(s)
	v.batch(s)
	v.durationBetween("quota.grant_ttl", s.Quota.GrantTTL, 100*time.Millisecond, time.Minute)
	v.durationBetween("quota.share_ttl", s.Quota.ShareTTL, s.Quota.GrantTTL.std(), 5*time.Minute)
	v.durationBetween("quota.margin", s.Quota.Margin, 10*time.Millisecond, time.Minute)
	v.durationBetween("quota.patience", s.Quota.Timeout, 10*time.Millisecond, time.Minute)
	v.durationBetween("backend.connect_timeout", s.Backend.ConnectTimeout, 10*time.Millisecond, time.Minute)
	v.durationBetween("backend.stall_timeout", s.Backend.StallTimeout, 100*time.Millisecond, 10*time.Minute)
	v.intBetween("backend.attempts", s.Backend.Attempts, 1, 10)
	v.intBetween("backend.pack", s.Backend.Pack, 0, 1024)
	v.durationBetween("drain.notice", s.Drain.Notice, 0, time.Minute)
	v.durationBetween("drain.limit", s.Drain.Limit, 0, time.Hour)
	v.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	v.oneOf("log.format", s.Log.Format, "json", "text")
}

func (v validator) lease(s *Settings) {
	v.durationBetween("lease.duration", s.Lease.Duration, 500*time.Millisecond, 5*time.Minute)
	v.durationBetween("lease.renew", s.Lease.Renew, 50*time.Millisecond, time.Minute)
	v.durationBetween("lease.margin", s.Lease.Margin, 10*time.Millisecond, time.Minute)
	v.intBetween("lease.shards", s.Lease.Shards, 1, maxShards)
	if 2*s.Lease.Renew+s.Lease.Margin > s.Lease.Duration {
		v.addError("lease.renew", "two renewals and the margin must fit in the duration")
	}
}

func (v validator) batch(s *Settings) {
	v.intBetween("batch.max_slots", s.Batch.MaxSlots, 0, 4096)
	v.intBetween("batch.shared_slots", s.Batch.SharedSlots, 0, s.Batch.MaxSlots)
	v.intBetween("batch.fixed_slots", s.Batch.FixedSlots, 0, 4096)
	v.durationBetween("batch.quiet", s.Batch.Quiet, 0, time.Minute)
	v.durationBetween("batch.growth", s.Batch.Growth, time.Millisecond, time.Minute)
	v.intBetween("batch.attempts", s.Batch.Attempts, 1, 100)
	v.durationBetween("batch.item_timeout", s.Batch.ItemTimeout, time.Second, time.Hour)
	v.durationBetween("batch.flush", s.Batch.Flush, 10*time.Millisecond, time.Minute)
	v.durationBetween("batch.poll", s.Batch.Poll, 100*time.Millisecond, time.Minute)
	v.intBetween("batch.max_held_bytes", s.Batch.MaxHeldBytes, 1<<20, 1<<30)
}

func (v validator) addError(path, format string, args ...any) {
	*v.errs = append(*v.errs, FieldError{path, fmt.Sprintf(format, args...)})
}

func (v validator) name(path, value string) {
	if value == "" || len(value) > 63 {
		v.addError(path, "must have 1 to 63 characters")
	}
}

func (v validator) address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		v.addError(path, "want an IP number and port, as in 10.0.0.1:8080, not %q", value)
	}
}

func (v validator) file(path, value string) {
	if value == "" {
		v.addError(path, "must name a file")
		return
	}
	if _, err := os.Stat(value); err != nil {
		v.addError(path, "%s", err)
	}
}

func (v validator) intBetween(path string, value, low, high int) {
	if value < low || value > high {
		v.addError(path, "must be from %d to %d, not %d", low, high, value)
	}
}

func (v validator) durationBetween(path string, value Duration, low, high time.Duration) {
	if d := time.Duration(value); d < low || d > high {
		v.addError(path, "must be from %s to %s, not %s", low, high, d)
	}
}

func (v validator) oneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		v.addError(path, "must be one of %v, not %q", allowed, value)
	}
}

func sortedKeys(m map[string]json.RawMessage) []string {
	return slices.Sorted(maps.Keys(m))
}
