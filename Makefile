MODULES := lentilwind instance entry control platform lentilctl bench tests
PROGRAMS := entry control lentilctl bench
OUT := out

.PHONY: help build test known fmt lint vet fuzz bench demo soak ci clean

help: ## List the targets.
	@grep -E '^[a-z]+:.*##' Makefile | sed 's/:.*##/\t/'

build: ## Build the programs into out/bin.
	@mkdir -p $(OUT)/bin
	go build -o $(OUT)/bin/lentil-entry ./entry
	go build -o $(OUT)/bin/lentil-control ./control
	go build -o $(OUT)/bin/lentilctl ./lentilctl
	go build -o $(OUT)/bin/lentil-bench ./bench
	go build -o $(OUT)/bin/lentil-platform ./platform

# Tests that start the programs depend on sources that the test cache does not see, hence -count=1.
test: build ## Run every test but those that SKIP matches, with the race detector.
	go test -race -count=1 -timeout 20m $(if $(SKIP),-skip '$(SKIP)') $(MODULES:%=./%/...)

known: ## Run the tests that KNOWN matches.
	go test -race -count=1 -timeout 10m -run '$(KNOWN)' $(MODULES:%=./%/...)

fmt: ## Format the sources.
	cd tools && GOWORK=off go tool gofumpt -extra -l -w $(MODULES:%=../%)

lint: ## Check formatting and run the linter.
	./tools/lint.sh $(MODULES)

SEED ?= 1000
SEEDS ?= 50

soak: ## Run the fault soak on SEEDS seeds from SEED on.
	go test -timeout 60m -run TestSoak -v ./platform/internal/program -soak.first $(SEED) -soak.seeds $(SEEDS) -soak.duration 10s

vet: ## Run go vet.
	go vet $(MODULES:%=./%/...)

demo: build ## Run the Tres Ríos fleet on loopback under load and faults.
	$(OUT)/bin/lentil-bench demo --bin $(OUT)/bin --out $(OUT)/demo

ci: ## Run what CI runs.
	.ci/run

clean: ## Remove what was built.
	rm -rf $(OUT)
