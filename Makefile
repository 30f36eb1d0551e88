MODULES := ./plantainctl/... ./plantainlane/... ./standin/... ./wire/...

.PHONY: build test demo lint

build:
	mkdir -p bin
	go build -o bin ./plantainctl ./plantainlane ./standin

test:
	go test $(MODULES)

demo: build
	./demo.sh

lint:
	gofumpt -l plantainctl plantainlane standin wire
	golangci-lint run $(MODULES)
