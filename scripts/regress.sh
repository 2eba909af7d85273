#!/usr/bin/env bash
# Runs the standard days and hunts of deployments on the users' bench and prints one table for docs/MEASURES.md.
#
#   FLEETBENCH=PATH scripts/regress.sh [-n ROUNDS] [-d DAYS] [-j JOBS] [-w WHY] SITE.toml...
#
# Each site is scored ROUNDS times (1), and DAYS days are hunted on it (0: 40, or 8 on sites of 60 machines or more), with
# JOBS at a time (half of the processors). The bench writes its entries to journal/. The exit status is 1 if a gate failed
# or a hunted day broke a rule.
set -u

rounds=1 days=0 jobs=$(( ($(nproc) + 1) / 2 )) why="regression"
while getopts n:d:j:w: option; do
  case $option in
    n) rounds=$OPTARG ;;
    d) days=$OPTARG ;;
    j) jobs=$OPTARG ;;
    w) why=$OPTARG ;;
    *) exit 2 ;;
  esac
done
shift $((OPTIND - 1))
if [ $# -eq 0 ] || [ -z "${FLEETBENCH:-}" ]; then
  echo "usage: FLEETBENCH=PATH scripts/regress.sh [-n ROUNDS] [-d DAYS] [-j JOBS] [-w WHY] SITE.toml..." >&2
  exit 2
fi

# largeSiteMachines is the number of machines from which fewer days are hunted.
largeSiteMachines=60
status=0
all=$(mktemp -d)
trap 'rm -rf "$all"' EXIT

for site in "$@"; do
  name=$(basename "$site" .toml)
  for n in $(seq "$rounds"); do
    "$FLEETBENCH" score "$site" --jobs "$jobs" --why "$why" >"$all/$name.score.$n" 2>&1
    grep -q '^GATE passed' "$all/$name.score.$n" || status=1
  done
  hunted=$days
  if [ "$hunted" -eq 0 ]; then
    machines=$(awk '$2 ~ /^[0-9]+\/[0-9]+$/ {split($2, a, "/"); print a[1]; exit}' "$all/$name.score.1")
    hunted=40
    [ "${machines:-0}" -ge "$largeSiteMachines" ] && hunted=8
  fi
  "$FLEETBENCH" hunt "$site" --days "$hunted" --jobs "$jobs" --why "$why" >"$all/$name.hunt" 2>&1
  grep -q ', 0 with a rule broken' "$all/$name.hunt" || status=1
done

echo "| site | day | n | worth, mean (least to most) | served |"
echo "|---|---|---|---|---|"
for site in "$@"; do
  name=$(basename "$site" .toml)
  cat "$all/$name".score.* | awk -v site="$name" '
    $2 ~ /^[0-9]+\/[0-9]+$/ && $1 !~ /^fresh-/ {
      if (!($1 in n)) order[++days] = $1
      n[$1]++; sum[$1] += $4; served[$1] += $5
      if (!($1 in least) || $4 < least[$1]) least[$1] = $4
      if ($4 > most[$1]) most[$1] = $4
    }
    END {
      for (i = 1; i <= days; i++) {
        d = order[i]
        printf "| %s | %s | %d | %.3f (%.3f to %.3f) | %.3f |\n", site, d, n[d], sum[d]/n[d], least[d], most[d], served[d]/n[d]
        if (d !~ /^quiet/) { total += sum[d]; count += n[d] }
      }
      if (count) printf "| %s | **days with trouble** | %d | **%.3f** | |\n", site, count, total/count
    }'
  grep -hE '^(score on|GATE)' "$all/$name".score.* | sed "s/^/| $name | /; s/\$/ | | | |/"
  grep -h ' with a rule broken' "$all/$name.hunt" | sed "s/^/| $name | hunt: /; s/\$/ | | | |/"
  awk -v site="$name" '$0 ~ / [0-9]+\/[0-9]+ +[0-9.]+ +[0-9.]+ +[0-9.]+ / {
      for (i = 1; i <= NF; i++) if ($i ~ /^[0-9]+\/[0-9]+$/) { sum += $(i+2); n++; break }
    } END { if (n) printf "| %s | hunted days | %d | %.3f | |\n", site, n, sum/n }' "$all/$name.hunt"
done
exit $status
