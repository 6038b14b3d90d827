#!/usr/bin/env bash
# Builds what the scripts of the third review start besides the project's programs, which the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review3
go build -o target/review3/ ./review/harness3
