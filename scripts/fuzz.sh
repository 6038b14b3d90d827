#!/usr/bin/env bash
# Runs each fuzz target for FUZZ_TIME (2s), after its seeds have passed as tests.
set -euo pipefail
cd "$(dirname "$0")/.."
grep -rlE '^func Fuzz' --include='*_test.go' internal platform | LC_ALL=C sort | while read -r file; do
  sed -n 's/^func \(Fuzz[A-Za-z]*\)(.*/\1/p' "$file" | while read -r target; do
    echo "fuzzing $target of ${file%/*}"
    output=$(go test -run '^$' -fuzz "^$target\$" -fuzztime "${FUZZ_TIME:-2s}" -fuzzminimizetime 10x -parallel 2 "./${file%/*}" 2>&1) ||
      { echo "$output" >&2; echo "$target failed; run: go test -fuzz '^$target\$' ./${file%/*}" >&2; exit 1; }
  done
done
