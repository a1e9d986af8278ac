GOLANGCI_LINT_VERSION := v2.15.0
BUF_VERSION := v1.75.0

# Tests that fail because of a known fault, as a pattern of go test. make test lists and skips
# them. A line of KNOWN-RED.txt begins with the name of a test, or of a scenario behind a slash.
KNOWN_RED := $(shell sed -n 's|^\(Test[A-Za-z0-9]*\):.*|^\1$$|p; s|^\(Test[A-Za-z0-9]*\)/\([a-z0-9_]*\):.*|^\1$$/^\2$$|p' KNOWN-RED.txt 2>/dev/null | paste -sd '|')

.PHONY: build test test-busy lint format generate demo soak java

build:
	go build -o bin/ ./cmd/...

test: lint java
	go vet ./...
	@cat KNOWN-RED.txt 2>/dev/null || true
	go test -race -count=1 -timeout 20m $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') ./...

# Runs all tests beside BUSY processes that use a processor each. A test whose result depends
# on the load fails here.
BUSY := 4
test-busy:
	@pids=; for i in $$(seq $(BUSY)); do sh -c 'while :; do :; done' & pids="$$pids $$!"; done; \
	trap "kill $$pids" EXIT; trap "exit 1" INT TERM; \
	go test -race -count=1 -timeout 40m $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') ./...

lint: bin/golangci-lint
	bin/golangci-lint fmt --diff
	bin/golangci-lint run ./...

format: bin/golangci-lint
	bin/golangci-lint fmt

bin/golangci-lint:
	GOBIN=$(CURDIR)/bin go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)

# Regenerates the committed protobuf code. A build uses the committed code and
# needs no generator.
generate:
	GOBIN=$(CURDIR)/bin go install google.golang.org/protobuf/cmd/protoc-gen-go
	PATH="$(CURDIR)/bin:$$PATH" go run github.com/bufbuild/buf/cmd/buf@$(BUF_VERSION) generate

# Runs the system as separate processes with random fault injection and prints
# the results that callers observed. Fails if a guarantee was violated.
demo: build
	bin/soak --duration 10s --instances 4 --targets 12 --verbose

# Runs SEEDS random fault sequences with new seeds. A failure reports its seed,
# which bin/soak --seed replays.
SEEDS := 50
soak: build
	bin/soak --seeds $(SEEDS)

java:
	./java/build
