#!/usr/bin/env bash
# Checks formatting, linters, generated code and the build.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(gofmt -l cmd internal platform)
if [ -n "$unformatted" ]; then
  printf 'not formatted, run gofmt -w on:\n%s\n' "$unformatted" >&2
  exit 1
fi
# The generated code must match the proto files. Their checksum is compared, so
# that the check needs no protoc.
find proto -name '*.proto' | LC_ALL=C sort | xargs sha256sum | diff - internal/api/v1/proto.sha256 ||
  { echo 'generated code is out of date, run scripts/generate.sh' >&2; exit 1; }
go mod verify >/dev/null
go build ./...
go vet ./...
go tool staticcheck ./...
