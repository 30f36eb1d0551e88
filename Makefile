MODULES := ./plantainctl/... ./plantainlane/... ./standin/... ./wire/...

# Tests that KNOWN-RED.txt lists, as a pattern for -skip.
RED := $(shell sed -n 's/^\(Test[^ ]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)

.PHONY: build test demo lint experiments speed

build:
	mkdir -p bin
	go build -o bin ./plantainctl ./plantainlane ./standin

test:
	@[ -z '$(RED)' ] || { echo 'known to fail, left out:'; cat KNOWN-RED.txt; }
	go test $(if $(RED),-skip '$(RED)') $(MODULES)

demo: build
	./demo.sh

lint:
	gofumpt -l plantainctl plantainlane standin wire
	golangci-lint run $(MODULES)

experiments: build
	bench/run.sh

speed: build
	bench/speed.sh
