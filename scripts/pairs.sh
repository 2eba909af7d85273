#!/usr/bin/env bash
# Runs days with the same seeds on two or more checkouts and compares them. Processor time is not charged.
#
#   FLEETBENCH=PATH scripts/pairs.sh -o OUT [-s SEEDS] [-j JOBS] [-w WHY] -c NAME=DIR [-c NAME=DIR]... SITE.toml DAY...
#   scripts/pairs.sh -t -o OUT NAME...
#
# Each DAY is the name of a standard day or a day file. The seeds are 1 to SEEDS (8); SEEDS 0 runs the day's own seed. Reports
# are written to OUT/NAME/SITE/DAY/SEED.json, and runs that have a report are not repeated. The table shows for each checkout
# and day the mean over the seeds, with its standard error, and the difference from the first checkout, of: worth, share of
# what is owed that was served, worst two windows, shares of callers' requests in time, late, refused and failed, and prices.
set -u

out="" seeds=8 jobs=$(( ($(nproc) + 1) / 2 )) why="pairs" table=0 checkouts=()
while getopts o:s:j:w:c:t option; do
  case $option in
    o) out=$OPTARG ;;
    s) seeds=$OPTARG ;;
    j) jobs=$OPTARG ;;
    w) why=$OPTARG ;;
    c) checkouts+=("$OPTARG") ;;
    t) table=1 ;;
    *) exit 2 ;;
  esac
done
shift $((OPTIND - 1))
if [ -z "$out" ]; then
  sed -n '2,11s/^# \{0,1\}//p' "$0" >&2
  exit 2
fi

play() { # DIR SITE DAY SEED REPORT WHY
  [ -s "$5" ] && return
  mkdir -p "$(dirname "$5")"
  local seed=()
  [ "$4" -ne 0 ] && seed=(--seed "$4")
  (cd "$1" && "$FLEETBENCH" run "$2" "$3" "${seed[@]}" --no-cpu --jobs 1 --why "$6" --report "$5" >"${5%.json}.txt" 2>&1)
  [ -s "$5" ] || echo "no report: $1 $2 $3 seed $4" >&2
}

# figures prints a line per run: name, site, day, seed and the figures.
figures() {
  local name file
  for name in "$@"; do
    find "$out/$name" -name '*.json' | sort | while read -r file; do
      jq -r --arg at "$name $(dirname "${file#"$out/$name/"}" | tr / ' ') $(basename "$file" .json)" '
        [$at, .G, .served, ([.parts[] | select(.[0] == "worst windows")][0][2] // 0),
         .all.in_aim / .all.n, .all.late / .all.n, .all.refused / .all.n, .all.failed / .all.n,
         ([.prices[][2]] | add), (.breaks | length)] | map(tostring) | join(" ")' "$file"
    done
  done
}

print_table() {
  figures "$@" | awk -v first="$1" '
    function mean(k) { return sum[k] / n[k] }
    function error(k,    v) { if (n[k] < 2) return 0; v = (square[k] - sum[k] * sum[k] / n[k]) / (n[k] - 1); return v > 0 ? sqrt(v / n[k]) : 0 }
    function add(k, v) { n[k]++; sum[k] += v; square[k] += v * v }
    {
      name = $1; day = $2 "/" $3; seed = $4
      if (!((name, day) in seen)) { seen[name, day] = 1; order[++rows] = name SUBSEP day }
      for (f = 5; f <= 12; f++) {
        value[name, day, seed, f] = $f
        add(name SUBSEP day SUBSEP f, $f); add(name SUBSEP "all" SUBSEP f, $f)
        if (name != first && ((first, day, seed, f) in value)) {
          add("d" SUBSEP name SUBSEP day SUBSEP f, $f - value[first, day, seed, f])
          add("d" SUBSEP name SUBSEP "all" SUBSEP f, $f - value[first, day, seed, f])
        }
      }
      broken[name, day] += $13; broken[name, "all"] += $13
      if (!(name in named)) { named[name] = 1; names[++count] = name }
    }
    function row(name, day,    f, k, d, text) {
      text = "| " name " | " day " | " n[name SUBSEP day SUBSEP 5]
      for (f = 5; f <= 12; f++) {
        k = name SUBSEP day SUBSEP f
        text = text sprintf(" | %.3f", mean(k))
        if (f == 5) text = text sprintf(" (%.3f)", error(k))
        d = "d" SUBSEP k
        if ((f == 5 || f == 8) && n[d] > 0) text = text sprintf(" %+.3f (%.3f)", mean(d), error(d))
      }
      print text " | " broken[name, day] " |"
    }
    END {
      print "| checkout | day | n | worth (s.e.), difference (s.e.) | served | worst windows | in time, difference (s.e.) | late | refused | failed | prices | broken |"
      print "|---|---|---|---|---|---|---|---|---|---|---|---|"
      for (i = 1; i <= rows; i++) { split(order[i], p, SUBSEP); row(p[1], p[2]) }
      for (i = 1; i <= count; i++) row(names[i], "all")
    }'
}

if [ "$table" -eq 1 ]; then
  print_table "$@"
  exit
fi

site=$1
shift
export -f play
export FLEETBENCH
names=()
for c in "${checkouts[@]}"; do
  names+=("${c%%=*}")
  (cd "${c#*=}" && "$FLEETBENCH" build >/dev/null) || exit 1
done
for seed in $(seq "$([ "$seeds" -eq 0 ] && echo 0 || echo 1)" "$seeds"); do
  for day in "$@"; do
    for c in "${checkouts[@]}"; do
      printf '%s\0' "${c#*=}" "$site" "$day" "$seed" "$out/${c%%=*}/$(basename "$site" .toml)/$(basename "$day" .toml)/$seed.json" "$why"
    done
  done
done | xargs -0 -n 6 -P "$jobs" bash -c 'play "$@"' play
print_table "${names[@]}"
