#!/usr/bin/env bash
# Plays every day in this folder on a site of the users' bench and fails when a rule is
# broken. BENCH is the bench's program, SITE the site file.
set -euo pipefail
: "${BENCH:?the path of the bench}" "${SITE:?the path of a site file}"
folder=$(dirname "$0")
broken=0
for day in "$folder"/*.toml; do
	report=$("$BENCH" run "$SITE" "$day" --why "Regression day $(basename "$day" .toml)")
	grep -A1 '^day ' <<<"$report" | tail -1
	if grep '^rules broken' <<<"$report"; then
		broken=1
	fi
done
exit $broken
