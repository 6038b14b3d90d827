.PHONY: build test check ci generate quickstart

build:
	go build -o bin/ ./cmd/...

test:
	./scripts/test.sh

check:
	./scripts/check.sh

ci:
	.ci/run

generate:
	./scripts/generate.sh

quickstart:
	go run ./cmd/jasmine-dev
