MODULES := ./platform/... ./plantainctl/... ./plantainlane/... ./standin/... ./wire/...

# Pattern for go test -skip of the tests that KNOWN-RED.txt lists as failing.
RED := $(shell sed -n 's/^\(Test[^ ]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)

SKIP := $(if $(RED),-skip '$(RED)')

.PHONY: build test race soak red demo lint experiments speed

build:
	mkdir -p bin
	go build -o bin ./plantainctl ./plantainlane ./standin

test: red
	go test -timeout 20m $(SKIP) $(MODULES)

race: red
	go test -race -short $(SKIP) $(MODULES)

soak:
	go test ./platform -run TestSoak -timeout 60m -v -soak.seeds 50

red:
	@[ -z '$(RED)' ] || { echo 'known failing tests, skipped:'; cat KNOWN-RED.txt; }

demo: build
	./demo.sh

lint:
	gofumpt -l platform plantainctl plantainlane standin wire
	golangci-lint run $(MODULES)

experiments: build
	bench/run.sh

speed: build
	bench/speed.sh
