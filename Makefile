GOBIN := $(CURDIR)/bin
LINT_VERSION := v2.15.0
GOPLS_VERSION := v0.23.0
PROTOC_GEN_GO_VERSION := v1.36.12
PROTOC_GEN_CONNECT_VERSION := v1.21.1

.PHONY: build test test-crowd lint format generate quickstart bench tools

build:
	go build -o bin/banyanscale .

# KNOWN_RED is the pattern of the tests and subtests that make test skips: the names at
# the start of the entries in KNOWN-RED.txt. .ci/run prints that file.
KNOWN_RED := $(shell sed -nE -e 's|^(Test[A-Za-z0-9_]*)/([A-Za-z0-9_-]+).*|^\1$$/^\2$$|p;t' \
	-e 's|^(Test[A-Za-z0-9_]*).*|^\1$$|p' KNOWN-RED.txt | paste -sd '|' -)

test:
	go vet ./...
	go test -count=1 $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') ./...

# test-crowd starts processes and lets crowds of clients press on them, one after the other. It runs
# apart from the other tests, which would press on the same machine.
test-crowd:
	go vet -tags crowd ./platform/banyanscale-platform
	go test -count=1 -tags crowd -timeout 20m $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') ./platform/banyanscale-platform

bin/golangci-lint:
	GOBIN=$(GOBIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

bin/gopls:
	GOBIN=$(GOBIN) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

tools: bin/golangci-lint bin/gopls

lint: bin/golangci-lint
	bin/golangci-lint fmt --diff
	bin/golangci-lint run --allow-parallel-runners

format: bin/golangci-lint
	bin/golangci-lint fmt

# generate needs the Debian package protobuf-compiler. The generated files are committed.
generate:
	GOBIN=$(GOBIN) go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)
	GOBIN=$(GOBIN) go install connectrpc.com/connect/cmd/protoc-gen-connect-go@$(PROTOC_GEN_CONNECT_VERSION)
	PATH="$(GOBIN):$$PATH" protoc -I proto --go_out=. --go_opt=module=github.com/banyanscale/banyanscale \
		--connect-go_out=. --connect-go_opt=module=github.com/banyanscale/banyanscale proto/*.proto

quickstart: build
	scripts/quickstart

bench:
	go test -run '^$$' -bench . -benchmem ./...
