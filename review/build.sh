#!/bin/sh
# Builds the stand-ins of the cases into target/review, beside the users' build of the program itself.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -ldflags=-linkmode=external -o target/ ./cmd/pinevane
go test -c -o target/review/standin ./review/_standin
