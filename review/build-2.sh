#!/bin/bash
# Builds the stand-in of the cases 4 and on, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target
go test -c -o target/review-site2 ./review/_site2
