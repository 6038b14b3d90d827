#!/usr/bin/env bash
# Builds the program that plays the scripted cases 7 to 10: clients, backend servers and the platform.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/harness2
