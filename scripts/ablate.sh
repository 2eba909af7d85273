#!/usr/bin/env bash
# Disables each mechanism of the scheduler in turn and compares the runs with those of all mechanisms, on paired seeds.
#
#   FLEETBENCH=PATH scripts/ablate.sh -o OUT [-s SEEDS] [-j JOBS] [-m MECHANISM,...] SITE.toml DAY...
#
# Runs the newest commit in clones under OUT, with `--without MECHANISM` on the command line of both roles. MECHANISMs are
# those of verbena/dispatch/mechanisms.go. The table is that of scripts/pairs.sh. Its reference is "none", which disables
# nothing: without any --without the bench would make other random choices, since these depend on the command line.
set -u

out="" seeds=4 jobs=$(( ($(nproc) + 1) / 2 )) mechanisms=""
while getopts o:s:j:m: option; do
  case $option in
    o) out=$OPTARG ;;
    s) seeds=$OPTARG ;;
    j) jobs=$OPTARG ;;
    m) mechanisms=$OPTARG ;;
    *) exit 2 ;;
  esac
done
shift $((OPTIND - 1))
if [ -z "$out" ] || [ $# -lt 2 ]; then
  sed -n '2,8s/^# \{0,1\}//p' "$0" >&2
  exit 2
fi
here=$(cd "$(dirname "$0")" && pwd)
source=$(git -C "$here" rev-parse --show-toplevel)
if [ -z "$mechanisms" ]; then
  mechanisms=$(sed -n 's/.* Mechanism = "\(.*\)"$/\1/p' "$source/verbena/dispatch/mechanisms.go" | paste -sd,)
fi

checkouts=()
for name in none ${mechanisms//,/ }; do
  [[ " ${checkouts[*]-} " == *" $name="* ]] && continue
  dir=$out/checkouts/$name
  if [ ! -d "$dir" ]; then
    git clone -q "$source" "$dir" || exit 1
    sed -i "s/^\(run = \"target\/verbenad [a-z]*\)\"/\1 --without $name\"/" "$dir/deploy/system.toml"
  fi
  checkouts+=(-c "$name=$dir")
done
"$here/pairs.sh" -o "$out" -s "$seeds" -j "$jobs" -w "ablation" "${checkouts[@]}" "$@"
