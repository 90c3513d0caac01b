MODULES := lib platform sardinebench sardined sardinectl sardinegate sardineload standin proofs
PROGRAMS := sardined sardinectl sardinegate sardineload standin
LINT := bin/golangci-lint
LINT_VERSION := v2.15.0
# Tests that KNOWN-RED.txt lists as "test: NAME" are left out.
KNOWN_RED := $(shell sed -n 's/^  test: \(Test[A-Za-z0-9_]*\)$$/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
SKIP_KNOWN_RED := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')
# Fuzz targets of messages from outside that make test runs with FUZZTIME inputs each: module:package:target. A number of
# inputs has no deadline, which go test may report as a failure of the target.
FUZZ := platform:.:FuzzRecords sardined:./peer:FuzzDecodeMessage sardinegate:./mesh:FuzzMessage sardinegate:./broker:FuzzHandle \
	sardinegate:./front:FuzzRequests
FUZZTIME := 200000x
# Seeds of make soak.
FIRST := 1
SEEDS := 50
export CGO_ENABLED := 1

.PHONY: all build demo test lint unit fuzz model proofs bench bench-quick slopes soak clean FORCE
.DELETE_ON_ERROR:

all: build

build: $(PROGRAMS:%=bin/%)

# The programs are always built: the Go tool itself decides which packages are out of date.
$(PROGRAMS:%=bin/%): bin/%: FORCE
	cd $* && go build -o ../bin/$* .

$(LINT):
	GOWORK=off GOBIN=$(CURDIR)/bin go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

lint: $(LINT)
	@out=$$(gofmt -l $(MODULES)); if [ -n "$$out" ]; then echo "gofmt would change: $$out"; exit 1; fi
	@for m in $(MODULES); do echo "lint $$m"; (cd $$m && ../$(LINT) run --config ../.golangci.yml ./...) || exit 1; done

unit:
	@for m in $(filter-out proofs,$(MODULES)); do (cd $$m && go test -race $(SKIP_KNOWN_RED) ./...) || exit 1; done

fuzz:
	@for f in $(FUZZ); do echo "fuzz $$f"; (IFS=:; set -- $$f; cd $$1 && go test -run '^$$' -fuzz "^$$3$$" -fuzztime $(FUZZTIME) $$2) || exit 1; done

proofs: build
	cd proofs && go test -race -count=1 -timeout 15m $(SKIP_KNOWN_RED)
	cd proofs/soak && go test -race -count=1 -timeout 15m $(SKIP_KNOWN_RED)

# Plays random faults of SEEDS seeds from FIRST on, and prints a line for each. Not part of make test, which plays two seeds.
soak: build
	cd proofs/soak && go test -race -count=1 -timeout 0 -run '^TestSoak$$' -parallel 3 -soakFirst $(FIRST) -soakSeeds $(SEEDS)

# Measures sites under load and compares the results with targets and baselines. Results go to out/; recorded ones are
# in docs/measurements.md.
bench: build
	cd sardinebench && go run . policies

bench-quick: build
	cd sardinebench && go run . -quick policies

model:
	spec/check

# Prints the measured points that docs/CAPACITY.md is based on. Not part of make test.
slopes: build
	cd sardinebench && go run . slopes

test: lint unit fuzz model proofs

demo: build
	demo/run
	demo/platform

clean:
	rm -rf bin out
