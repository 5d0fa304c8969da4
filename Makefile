# Binaries link the C library dynamically, hence cgo.
export CGO_ENABLED = 1

GO ?= go
BIN := bin

.PHONY: build test lint format demo

build:
	$(GO) build -o $(BIN)/ ./cmd/...

lint:
	@unformatted="$$($(GO) tool gofumpt -l cmd internal platform test)"; \
	if [ -n "$$unformatted" ]; then echo "not formatted (run make format):"; echo "$$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	scripts/check-names.sh

format:
	$(GO) tool gofumpt -w cmd internal platform test

test: lint build
	scripts/test.sh

demo: build
	$(BIN)/acacia-lab demo
