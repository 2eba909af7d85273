# The two commands of a newcomer are `make demo` and `make test`.

GO       ?= go
BIN      := $(CURDIR)/bin
MODULES  := platform verbena verbenad verbenactl verbenalab
LINT     := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.12.2
LINTER   := $(BIN)/golangci-lint
# Results in a shared cache name the files of the tree that they came from, even after it is gone.
export GOLANGCI_LINT_CACHE := $(BIN)/lint-cache
RENAME   := golang.org/x/tools/gopls@v0.23.0

.PHONY: build demo test lint format rename-tool check-red

build:
	@mkdir -p $(BIN)
	$(GO) build -o $(BIN)/ ./verbenad ./verbenactl ./verbenalab

demo: build
	$(BIN)/verbenalab demo

test: build lint
	./scripts/test.sh

$(LINTER):
	@mkdir -p $(BIN)
	GOBIN=$(BIN) GOWORK=off $(GO) install $(LINT)

lint: $(LINTER)
	@for m in $(MODULES); do (cd $$m && $(LINTER) run ./...) || exit 1; done

format: $(LINTER)
	@for m in $(MODULES); do (cd $$m && $(LINTER) fmt ./...) || exit 1; done

# Installs gopls, whose rename follows every use over the modules of the workspace.
rename-tool:
	@mkdir -p $(BIN)
	GOBIN=$(BIN) GOWORK=off $(GO) install $(RENAME)
