MODULES := $(shell sed -n 's/^[[:space:]]*\.\/\([a-z]*\)$$/\1/p' go.work)
GOBIN := $(shell go env GOPATH)/bin
GOFUMPT := mvdan.cc/gofumpt@v0.12.0
GOLANGCI := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
GOPLS := golang.org/x/tools/gopls@v0.23.0

.PHONY: check demo traces soak build format lint layers test crowd runs tools generate gopls

check: tools format lint layers test crowd runs

build:
	go build -o bin/ ./cmd/...

demo:
	go run ./cmd/nutmegload replay -bills traces/demo.toml

traces:
	go run ./cmd/nutmegload replay -json -parallel 4 traces/*.toml traces/*/*.toml

# Random runs: SEEDS of separate processes, and 20 of an embedded fleet. CI plays the
# seeds that have failed before, with the other tests.
SEEDS := 50
soak:
	go test -count=1 -timeout 0 -v -run TestSoakRunsOnce ./platform -soak.seeds=$(SEEDS)
	go run ./cmd/nutmegload soak -runs 20

tools:
	@test -x $(GOBIN)/gofumpt || go install $(GOFUMPT)
	@test -x $(GOBIN)/golangci-lint || go install $(GOLANGCI)

format:
	@out=$$($(GOBIN)/gofumpt -l $(MODULES)); test -z "$$out" || { echo "not formatted: $$out"; exit 1; }

lint:
	$(GOBIN)/golangci-lint run --allow-serial-runners $(addsuffix /...,$(addprefix ./,$(MODULES)))

layers:
	go test -count=1 -run TestLayers ./cmd/internal/layers

test:
	go test -race -timeout 30m $(addsuffix /...,$(addprefix ./,$(MODULES)))

# Crowds of callers against real processes, one at a time and apart from other load.
crowd:
	go test -p 1 -count=1 -timeout 30m -run 'TestCrowds|TestManyHeaderLines' ./platform -crowd

# The random runs of budgets in full number and the comparison with one global
# counter; with -race there are fewer runs.
runs:
	go test -run 'Runs|Comparison' ./nutmegbudget

generate:
	cd nutmegpeer && protoc --go_out=. --go_opt=module=github.com/nutmegwind/nutmegwind/nutmegpeer \
		--go-drpc_out=. --go-drpc_opt=module=github.com/nutmegwind/nutmegwind/nutmegpeer peer.proto

# gopls renames identifiers in all modules of go.work; CI does not need it.
#   gopls rename -w FILE:LINE:COLUMN NEW_NAME
gopls:
	@test -x $(GOBIN)/gopls || go install $(GOPLS)
