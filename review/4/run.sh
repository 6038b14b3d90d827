#!/usr/bin/env bash
# Runs the case after the build of the deploy file and review/build.sh. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in review/bin/harness target/jasmine-platform-entry target/jasmine-platform-control; do
  [ -x "$program" ] || { echo "$program is missing: build first" >&2; exit 2; }
done
exec review/bin/harness split-takeup review/4
