#!/usr/bin/env bash
# Runs all tests with the race detector, except the known failures in KNOWN-RED.txt,
# which are printed. A line "skip: REGEXP" there matches the tests of one entry.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=''
if [ -f KNOWN-RED.txt ]; then
  skip=$(sed -n 's/^skip: *//p' KNOWN-RED.txt | paste -sd'|')
  [ -z "$skip" ] || { echo 'not run, see KNOWN-RED.txt:'; sed -n 's/^skip: */  /p' KNOWN-RED.txt; }
fi
exec go test -race -count=1 -timeout 10m ${skip:+-skip "$skip"} ./...
