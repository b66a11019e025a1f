#!/bin/bash
# Runs this case; see claim.txt.
exec "$(dirname "$0")/../run-case.sh" "$(dirname "$0")" other-writer
