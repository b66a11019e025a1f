# Development commands. setup installs the required tools.
DEPLOYMENT ?= yaad-voices
PLATFORM ?= product
HOLD ?=
BINARY := bin/pinevane
PACKAGES := ./...
# Tests with a known, unresolved failure: one line each in KNOWN-RED.txt, which begins with the
# test's name and a colon. These tests are printed, and only they are skipped.
KNOWN_RED := $(shell sed -n 's/^\(Test[A-Za-z0-9_]*\):.*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|')
MOST_KNOWN_RED := 3
# The soak test of every check. The schedule of this seed has evacuations, cold starts, narrower regions,
# servers that hang, flap, announce a rate limit or a backoff or that they leave, corrupt settings, a burst
# of callers and two versions.
SOAK_SEED ?= 67083181
SOAK_MINUTES ?= 0.6
# A second soak, in which the store comes back from copies of itself beside changes and versions.
RESTORE_SOAK_SEED ?= 57001
RESTORE_SOAK_MINUTES ?= 0.4
RESTORE_SOAK_KINDS ?= store-restored,store-restored-after-outage,reconfigure,new-version
# A third one, in which servers, agents and entries fall silent and go on, beside changes, stops and versions. Its first
# series has changes, stops of entries in turn and a stop with silence to its end, its second one all servers at once.
PAUSE_SOAK_SEED ?= 832613
PAUSE_SOAK_MINUTES ?= 0.3
PAUSE_SOAK_KINDS ?= server-pause,zone-pause,all-servers-pause,agents-pause,entry-pause,pause-beside-changes,pause-beside-stops,pause-beside-version,pause-to-end-of-stop
# A fourth one, in which requests with a part that crashes servers come beside changes, stops and versions.
PART_SOAK_SEED ?= 63112
PART_SOAK_MINUTES ?= 0.35
PART_SOAK_KINDS ?= crashing-part,reconfigure,stop-entry,new-version
# A fifth one, in which all entries are killed again and again while servers fail, beside changes and stops.
KILL_SOAK_SEED ?= 69001
KILL_SOAK_MINUTES ?= 0.35
KILL_SOAK_KINDS ?= entry-kills-beside-failures,reconfigure,stop-entry
# A sixth one, in which processes and servers stand still while a server crashes or an order is on its way.
STANDSTILL_SOAK_SEED ?= 73003
STANDSTILL_SOAK_MINUTES ?= 0.35
STANDSTILL_SOAK_KINDS ?= crash-beside-frozen-entry,order-taken-late,reconfigure,new-version,stop-entry

.PHONY: setup build demo test known-red lint format-check scenarios soak model-check regression bench clean

setup:
	go mod download
	@command -v spin >/dev/null || (apt-get update -qq && apt-get install -y -qq spin)

build:
	go build -o $(BINARY) ./cmd/pinevane

demo: build
	$(BINARY) demo --platform $(PLATFORM) --deployment examples/$(DEPLOYMENT) $(if $(HOLD),--hold)

test: setup format-check lint build known-red
	go test -race -count=1 -timeout 20m $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') $(PACKAGES)
	$(MAKE) model-check soak

known-red:
	@if [ -s KNOWN-RED.txt ]; then \
		echo "known to fail, passed over:"; cat KNOWN-RED.txt; \
		if [ $$(grep -c . KNOWN-RED.txt) -gt $(MOST_KNOWN_RED) ]; then echo "KNOWN-RED.txt: more than $(MOST_KNOWN_RED) lines"; exit 1; fi; \
		if grep -vq '^Test[A-Za-z0-9_]*: ' KNOWN-RED.txt; then echo "KNOWN-RED.txt: a line does not begin with a test's name and a colon"; exit 1; fi; \
	fi

format-check:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi

lint:
	go vet $(PACKAGES)
	go tool staticcheck $(PACKAGES)

model-check:
	@bash spec/check.sh

soak: build
	$(BINARY) experiment soak --seed $(SOAK_SEED) --minutes $(SOAK_MINUTES)
	$(BINARY) experiment soak --seed $(RESTORE_SOAK_SEED) --minutes $(RESTORE_SOAK_MINUTES) --kinds $(RESTORE_SOAK_KINDS)
	$(BINARY) experiment soak --seed $(PAUSE_SOAK_SEED) --minutes $(PAUSE_SOAK_MINUTES) --kinds $(PAUSE_SOAK_KINDS)
	$(BINARY) experiment soak --seed $(PART_SOAK_SEED) --minutes $(PART_SOAK_MINUTES) --kinds $(PART_SOAK_KINDS)
	$(BINARY) experiment soak --seed $(KILL_SOAK_SEED) --minutes $(KILL_SOAK_MINUTES) --kinds $(KILL_SOAK_KINDS)
	$(BINARY) experiment soak --seed $(STANDSTILL_SOAK_SEED) --minutes $(STANDSTILL_SOAK_MINUTES) --kinds $(STANDSTILL_SOAK_KINDS)

regression:
	BENCH="$(BENCH)" SITE="$(SITE)" bash scenarios/days/play.sh

bench:
	go test -run '^$$' -bench . -benchmem $(PACKAGES)

clean:
	rm -rf bin reports
