#!/usr/bin/env bash
# Checks every property of every model, and that each broken variant violates one.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# explore MODEL PROPERTY [DEFINE] prints the number of errors, the number of states, and 1 if the
# search depth was too small, otherwise 0.
explore() {
  local directory="$work/$1-$2-${3:-sound}"
  mkdir -p "$directory"
  (
    cd "$directory"
    spin ${3:+-D$3} -a "$OLDPWD/$1.pml" >spin.log 2>&1
    cc -O2 -DNOFAIR -w -o pan pan.c
    ./pan -a -m1000000 -N "$2" >pan.log 2>&1 || true
    awk '/errors:/ {errors=$NF} /states, stored/ {states=$1} /depth reached/ {sub(/,/, "", $4)} /max search depth too small/ {cut=1}
         END {print errors+0, states+0, cut+0}' pan.log
  )
}

# check MODEL PROPERTY [DEFINE] fails unless the property holds in the model, or its part DEFINE.
check() {
  read -r errors states cut < <(explore "$1" "$2" "${3:-}")
  if [ "$errors" -ne 0 ] || [ "$states" -eq 0 ] || [ "$cut" -ne 0 ]; then
    echo "FAIL  $1: $2: $errors errors in $states states"
    failed=1
  else
    echo "ok    $1: $2 holds, $states states"
  fi
}

broken() {
  read -r errors states _ < <(explore "$1" "$2" "$3")
  if [ "$errors" -eq 0 ]; then
    echo "FAIL  $1: $2: variant $3 was not caught in $states states"
    failed=1
  else
    echo "ok    $1: $2: variant $3 is caught after $states states"
  fi
}

check attempt at_most_once
check attempt not_run_is_true
broken attempt not_run_is_true BROKEN_TOMBSTONE
broken attempt at_most_once BROKEN_UNKNOWN
check version never_back
check version one_version
broken version never_back BROKEN_FENCE
broken version one_version BROKEN_PINNING
check configuration monotonic
broken configuration monotonic BROKEN_ORDERING
check escrow never_above
broken escrow never_above BROKEN_ESCROW
check spread all_hold_the_newest
broken spread all_hold_the_newest BROKEN_COMPARE
broken spread all_hold_the_newest BROKEN_RESET
check spread all_hold_what_the_store_holds RESTORE
broken spread all_hold_what_the_store_holds BROKEN_EPOCH
exit "$failed"
