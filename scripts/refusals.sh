#!/usr/bin/env bash
# Counts refused requests by cause from log lines of entry hosts on standard input:
#
#   FLEETBENCH run SITE DAY --log front | scripts/refusals.sh
#
# The dispatcher refuses with over_rate what exceeds the workspace's rate over all hosts. A standby, or a host that decides
# locally, may also refuse requests within the rate, since it applies only a part of it.
set -u
grep -F '"message":"request refused"' | awk '
  {
    reason = by = ""
    if (match($0, /"reason":"[a-z_]+"/)) reason = substr($0, RSTART + 10, RLENGTH - 11)
    if (match($0, /"placed_by":"[a-z]+"/)) by = substr($0, RSTART + 13, RLENGTH - 14)
    count[reason (by == "" ? "" : " by " by)]++
  }
  END { for (c in count) printf "%6d %s\n", count[c], c }' | sort -rn
