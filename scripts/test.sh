#!/usr/bin/env bash
# Runs all tests with the race detector. The tests listed in KNOWN-RED.txt may fail. They run separately, and their
# failures are printed but don't change the exit status.
set -u
cd "$(dirname "$0")/.."

red=""
if [ -s KNOWN-RED.txt ]; then
  red=$(grep -v '^#' KNOWN-RED.txt | awk 'NF {print $1}' | paste -sd'|' -)
fi

status=0
for module in platform verbena verbenad verbenactl verbenalab; do
  skip=()
  [ -n "$red" ] && skip=(-skip "^($red)\$")
  (cd "$module" && go test -race -count=1 -timeout 12m "${skip[@]}" ./...) || status=1
done

if [ -n "$red" ]; then
  echo "Known failing tests, from KNOWN-RED.txt:"
  cat KNOWN-RED.txt
  for module in platform verbena verbenad verbenactl verbenalab; do
    (cd "$module" && go test -count=1 -timeout 12m -run "^($red)\$" ./... 2>&1 | grep -E '^(--- |FAIL|panic)' | head -40)
  done
fi
exit $status
