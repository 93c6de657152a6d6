GOBIN := $(CURDIR)/bin
export GOBIN

.PHONY: build tools generate format lint test demo bench soak capacity

build:
	go build -o out/ . ./cmd/standin

tools:
	./tools/install

generate: tools
	cd internal/wire/encoder/schemas && $(GOBIN)/go-jsonschema --only-models --tags json -p encoder -o ../types.go *.json
	bin/gofumpt -w internal/wire/encoder/types.go

format: tools
	bin/gofumpt -w .

lint: tools
	@test -z "$$(bin/gofumpt -l .)" || { echo "not formatted:"; bin/gofumpt -l .; exit 1; }
	bin/golangci-lint run ./...

test: lint build
	go test -race -timeout 15m ./...

demo: build
	out/standin demo

# Prints the measured points of docs/CAPACITY.md.
capacity: build
	go test -run '^$$' -bench . -benchtime 200ms -count 3 ./internal/standin/gauger
	out/standin capacity
