# Builds, checks and tests the project. Needs Go, and a C compiler for the race detector.
GO            ?= go
BIN           := $(CURDIR)/bin
GOLANGCI      := $(BIN)/golangci-lint
GOLANGCI_VER  := v2.15.0
BUF_VER       := v1.75.0
PROTOGEN_VER  := v1.36.11
TRY_LISTEN    ?= 127.0.0.1:8080
TEST_TIMEOUT  ?= 20m

.PHONY: build try test check format generate soak fuzz bench clean

build:
	$(GO) build -o $(BIN)/comfreybend ./cmd/comfreybend

# Runs a whole system on the loopback interface and prints an example request.
try: build
	$(BIN)/comfreybend try --listen $(TRY_LISTEN)

# Runs all checks of CI: formatter, linter, build, and all tests with the race detector.
test: check build
	$(GO) build -o $(BIN)/testjudge ./internal/testjudge
	$(GO) test -race -count=1 -timeout $(TEST_TIMEOUT) -json ./... | $(BIN)/testjudge

check: $(GOLANGCI)
	$(GO) mod verify
	$(GOLANGCI) fmt --diff
	$(GOLANGCI) run ./...

format: $(GOLANGCI)
	$(GOLANGCI) fmt

$(GOLANGCI):
	GOBIN=$(BIN) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VER)

# Regenerates the code under schema/ from the .proto files.
generate:
	GOBIN=$(BIN) $(GO) install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOGEN_VER)
	PATH=$(BIN):$$PATH $(GO) run github.com/bufbuild/buf/cmd/buf@$(BUF_VER) generate

# Runs a whole system under random faults: make soak SEED=7 SECONDS=60.
SEED    ?= 1
SECONDS ?= 60
soak:
	SOAK_SEED=$(SEED) SOAK_SECONDS=$(SECONDS) $(GO) test -race -count=1 -v -timeout 30m -run 'TestSoak$$' ./test/integration

# Fuzzes the decoders of what others wrote, one after the other: make fuzz FUZZ_TIME=10m.
FUZZ_TIME ?= 30s
fuzz:
	set -e; for p in $$(grep -rl '^func Fuzz' --include='*_test.go' . | xargs -n 1 dirname | sort -u); do \
		for f in $$($(GO) test -list '^Fuzz' $$p | grep '^Fuzz'); do \
			$(GO) test -run '^$$' -fuzz "^$$f"'$$' -fuzztime $(FUZZ_TIME) $$p; \
		done; \
	done

bench:
	$(GO) test -run '^$$' -bench . -benchmem -benchtime 1x -timeout 40m ./test/integration
	$(GO) test -run '^$$' -bench . -benchmem ./pkg/... ./internal/...

clean:
	rm -rf $(BIN)
