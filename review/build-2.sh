#!/usr/bin/env bash
# Builds the programs that the scripts of the second review start, with the standard library and this repository's modules only.
set -eu
cd "$(dirname "$0")/harness-2"
GOWORK=off GOFLAGS=-mod=readonly go build -o bin/case .
