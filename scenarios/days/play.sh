#!/usr/bin/env bash
# Runs every day in this folder on a site of the users' test bench and fails if a rule is
# broken. BENCH is the path of the bench program, SITE that of the site file.
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
