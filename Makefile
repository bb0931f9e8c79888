# Chores of the project; run "make help" for the list.

GOBIN      := $(CURDIR)/bin
GOFUMPT    := mvdan.cc/gofumpt@v0.12.0
LINTER     := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
PROTOC_GO  := google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
PROTOC_RPC := storj.io/drpc/cmd/protoc-gen-go-drpc@v1.1.0
# SKIP is a pattern of tests to pass over; .ci/run sets it from KNOWN-RED.txt.
SKIP       ?=
# Groups of packages for make test. The root package starts crowds of callers and whole deployments and runs alone. Most tests of gateway wait,
# so more of them than cores run at once, and beside them, one package at a time, those of TIMED, whose tests keep times. All other packages use
# the cores and no clock; they run side by side, but beside no package of the other groups: simulations on all cores failed the sweeps of closes.
TIMED      := agent connpool crashcheck deployment dispatch entry holder idempotency inventory jsonclient keepalive loader platform probe queue \
              refresh reload resetguard router rpcserver sender sidecar standin/engine webserver
UNTIMED     = $(filter-out gypsumbank gypsumbank/gateway $(TIMED:%=gypsumbank/%),$(shell go list ./...))
TEST        = go test -race -count=1 -timeout 25m $(if $(SKIP),-skip '$(SKIP)')
SOURCES    := $(shell git ls-files '*.go' ':!wire/*.pb.go')

.PHONY: help build demo test test-root test-gateway test-timed test-untimed lint format tools generate bench capacity soak man clean

help: ## list the chores
	@grep -E '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/'

build: ## build the program
	go build -o gypsumbank .

demo: build ## send one request of each kind through a small deployment
	./gypsumbank demo --once

test: ## run all tests with the race detector
	go test -race -c -o /dev/null ./...
	@status=0; \
	$(MAKE) test-root || status=1; \
	$(MAKE) -k -j 2 --output-sync=target test-gateway test-timed || status=1; \
	$(MAKE) test-untimed || status=1; \
	exit $$status

test-root:
	$(TEST) .

test-gateway:
	$(TEST) -parallel 12 ./gateway

test-timed:
	$(TEST) -p 1 $(TIMED:%=./%)

test-untimed:
	$(TEST) -p 4 $(UNTIMED)

lint: tools ## check format and lint
	@test -z "$$($(GOBIN)/gofumpt -l $(SOURCES))" || { echo "gofumpt would change:"; $(GOBIN)/gofumpt -l $(SOURCES); exit 1; }
	$(GOBIN)/golangci-lint run ./...

format: tools ## format all sources
	$(GOBIN)/gofumpt -w $(SOURCES)

tools: bin/gofumpt bin/golangci-lint ## install the formatter and the linter

bin/gofumpt:
	GOBIN=$(GOBIN) go install $(GOFUMPT)

bin/golangci-lint:
	GOBIN=$(GOBIN) go install $(LINTER)

generate: ## make the code in wire/ again; needs protoc
	GOBIN=$(GOBIN) go install $(PROTOC_GO)
	GOBIN=$(GOBIN) go install $(PROTOC_RPC)
	PATH=$(GOBIN):$$PATH protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. wire/wire.proto

bench: ## run the benchmarks
	go test -run '^$$' -bench . -benchmem ./...

capacity: ## measure the slopes of docs/CAPACITY.md
	go test -run '^$$' -bench Capacity -benchtime 1x .
	go test -run '^$$' -bench Capacity ./snapshot ./router

soak: ## draw faults for long; GYPSUMBANK_SEED, GYPSUMBANK_ROUNDS, GYPSUMBANK_SOAK_SEED, GYPSUMBANK_SOAK_SECONDS and GYPSUMBANK_SOAK_SIZE set what, how long and how large
	GYPSUMBANK_ROUNDS=$${GYPSUMBANK_ROUNDS:-200} go test -run TestTwoFaultsAtOnce -timeout 3h -v .
	GYPSUMBANK_SOAK_SEED=$${GYPSUMBANK_SOAK_SEED:-$$(date +%s)} GYPSUMBANK_SOAK_SECONDS=$${GYPSUMBANK_SOAK_SECONDS:-300} go test -race -run TestSoak -timeout 3h -v .

man: ## write the manual pages and the reference of settings again
	GYPSUMBANK_UPDATE_MAN=1 go test -run 'ManualPages|SettingsReference' .

clean: ## remove what was built
	rm -rf bin gypsumbank
