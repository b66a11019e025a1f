# Commands of the project; each installs what it needs.
DEPLOYMENT ?= yaad-voices
PLATFORM ?= product
HOLD ?=
BINARY := bin/pinevane
PACKAGES := ./...

.PHONY: setup build demo test lint format-check scenarios model-check regression bench clean

setup:
	go mod download
	@command -v spin >/dev/null || (apt-get update -qq && apt-get install -y -qq spin)

build:
	go build -o $(BINARY) ./cmd/pinevane

demo: build
	$(BINARY) demo --platform $(PLATFORM) --deployment examples/$(DEPLOYMENT) $(if $(HOLD),--hold)

test: setup format-check lint build
	go test -race -count=1 -timeout 20m $(PACKAGES)
	$(MAKE) model-check

format-check:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi

lint:
	go vet $(PACKAGES)
	go tool staticcheck $(PACKAGES)

model-check:
	@bash spec/check.sh

regression:
	BENCH="$(BENCH)" SITE="$(SITE)" bash scenarios/days/play.sh

bench:
	go test -run '^$$' -bench . -benchmem $(PACKAGES)

clean:
	rm -rf bin reports
