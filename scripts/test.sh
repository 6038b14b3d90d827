#!/usr/bin/env bash
# All tests under the race detector, except the cases recorded in KNOWN-RED.txt,
# which are printed. A line "skip: REGEXP" there names the tests of one case.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=''
if [ -f KNOWN-RED.txt ]; then
  skip=$(sed -n 's/^skip: *//p' KNOWN-RED.txt | paste -sd'|')
  [ -z "$skip" ] || { echo 'not run, see KNOWN-RED.txt:'; sed -n 's/^skip: */  /p' KNOWN-RED.txt; }
fi
exec go test -race -count=1 -timeout 10m ${skip:+-skip "$skip"} ./...
