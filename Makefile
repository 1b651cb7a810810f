GO ?= go
GOBIN := $(shell $(GO) env GOPATH)/bin
export PATH := $(GOBIN):$(PATH)

# Tests recorded in KNOWN-RED.txt run apart, see known-red.
RED := $(shell awk -F' *\\| *' '/^[^\#]/ && NF>1 {printf "%s%s", s, $$1; s="|"}' KNOWN-RED.txt 2>/dev/null)
SKIP := $(if $(RED),-skip '^($(RED))$$',)

# Tests in which the race detector itself crashes on arm64 (ThreadSanitizer: CHECK failed).
NORACE := $(if $(filter aarch64 arm64,$(shell uname -m)),turmericshed/io/tsprofiles)

# Tests that measure the memory of processes run apart from other load.
ALONE := turmericshed/load/tshostile

.PHONY: build test lint format generate model demo bench slopes fuzz known-red tools
build:
	$(GO) build -o bin/turmericshed ./cmd/turmericshed
test:
	$(GO) test -race -count=1 -timeout 8m $(SKIP) $(filter-out $(NORACE) $(ALONE),$(shell $(GO) list ./...))
	$(if $(NORACE),$(GO) test -count=1 -timeout 8m $(SKIP) $(NORACE))
	$(GO) test -count=1 -timeout 8m $(SKIP) $(ALONE)
lint:
	golangci-lint run ./...
format:
	golangci-lint fmt ./...
demo: build
	./bin/turmericshed demo
model:
	spec/check.sh
bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...
slopes: build
	./bin/turmericshed experiment slopes
	$(GO) test -run '^$$' -bench . -benchtime 30x ./io/tsprocess
generate:
	protoc --go_out=. --go_opt=module=turmericshed \
		--connect-go_out=. --connect-go_opt=module=turmericshed,package_suffix \
		api/*.proto
fuzz:
	@grep -rlE '^func Fuzz' --include=*_test.go . | while read -r f; do \
		for t in $$(sed -n 's/^func \(Fuzz[A-Za-z]*\).*/\1/p' $$f); do \
			$(GO) test -run '^$$' -fuzz "^$$t$$" -fuzztime 20s ./$$(dirname $$f) || exit 1; \
		done; done
known-red:
	@awk -F' *\\| *' '/^[^\#]/ && NF>1 {print $$2}' KNOWN-RED.txt | while read -r c; do echo "known red: $$c"; sh -c "$$c" || true; done
tools:
	command -v gofumpt >/dev/null || $(GO) install mvdan.cc/gofumpt@v0.12.0
	command -v golangci-lint >/dev/null || $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
