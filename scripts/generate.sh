#!/usr/bin/env bash
# Regenerates internal/api/v1 from proto/. Needs protoc; the build does not.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
PATH="$bin:$PATH" protoc -I proto \
  --go_out=. --go_opt=module=github.com/jasminesaddle/jasminesaddle \
  --connect-go_out=. --connect-go_opt=module=github.com/jasminesaddle/jasminesaddle --connect-go_opt=simple=true \
  proto/jasmine/v1/*.proto
find proto -name '*.proto' | LC_ALL=C sort | xargs sha256sum > internal/api/v1/proto.sha256
