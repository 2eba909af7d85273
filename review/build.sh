#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They use the standard library only.
set -eu
cd "$(dirname "$0")/harness"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../bin/harness .
