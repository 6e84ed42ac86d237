# Targets that people and .ci/run use. The build needs Go and a C compiler only.
GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod
PROFILE ?= registry

.PHONY: build test race lint generate demo spec spec-mutants fmt clean

build:
	$(GO) build -o bin/ ./cmd/...

test:
	$(GO) test ./...

race:
	$(GO) test -race ./...

fmt:
	gofmt -w $$(git ls-files '*.go')

lint:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); test -z "$$unformatted" || { echo "not gofmt-ed: $$unformatted"; exit 1; }
	$(GO) vet ./...
	$(TOOL) staticcheck ./...

# generate writes the committed protobuf code anew.
generate:
	$(TOOL) buf generate

demo: build
	bin/sloelift-lab demo --profile $(PROFILE) --duration 15s --seed 1

# spec checks the core protocol with Spin; spec-mutants shows that each guard is needed.
spec:
	$(MAKE) -C spec check

spec-mutants:
	$(MAKE) -C spec mutants

clean:
	rm -rf bin spec/build
