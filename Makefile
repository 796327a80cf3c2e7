# Targets for developers and operators; README.md explains them.
GOLANGCI_VERSION := v2.15.0
BIN := $(CURDIR)/bin

.PHONY: all build test lint generate demo soak bench hunt worst-load clean

all: build

build:
	go build -o $(BIN)/ ./cmd/...

# Without the cache: it does not see changes of the binaries that tests build.
test:
	go test -race -count=1 -timeout 20m $(if $(SKIP),-skip '$(SKIP)') ./...

lint: $(BIN)/golangci-lint-$(GOLANGCI_VERSION)
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); exit 1; }
	go vet ./...
	$(BIN)/golangci-lint-$(GOLANGCI_VERSION) run ./...

$(BIN)/golangci-lint-$(GOLANGCI_VERSION):
	mkdir -p $(BIN)
	GOBIN=$(BIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	mv $(BIN)/golangci-lint $@

# Needs protoc, protoc-gen-go and protoc-gen-go-grpc; the result is committed.
generate:
	protoc -I. --go_out=. --go_opt=module=gentiankeel \
		--go-grpc_out=. --go-grpc_opt=module=gentiankeel internal/wire/*.proto

demo: build
	./scripts/demo.sh

# Long randomised runs; each failing run prints its seed. Only packages that use rapid
# know its flags.
SOAK_PACKAGES = $(shell git grep -l pgregory.net/rapid -- 'internal/*_test.go' | xargs -n1 dirname | sort -u | sed 's|^|./|')
soak:
	go test -timeout 60m -run 'Rapid|Random' $(SOAK_PACKAGES) -rapid.checks=2000
	go test -timeout 60m ./platform/soak -v -soak.seed=$(or $(SEED),1) -soak.count=$(or $(COUNT),10) -soak.for=8s -soak.untrusted

bench:
	go test -run '^$$' -bench . -benchtime 1s ./...

# Need the users' bench: make hunt BENCH=path/to/fleetbench SITE=path/to/site.toml [DAYS=40]
hunt:
	./scripts/hunt.sh $(BENCH) $(SITE) $(or $(DAYS),40)

worst-load:
	./scripts/worst-load.sh $(BENCH) $(SITE)

clean:
	rm -rf $(BIN)
