#!/bin/bash
# Runs a case: run-case.sh CASE-FOLDER SCENARIO. Starts the stand-in and, with the commands of the deploy
# file, the processes that it lists; ends all of them; exits with the stand-in's status.
folder=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root" || exit 2
program=target/pinevane
standin=target/review-site2
if [ ! -x "$program" ] || [ ! -x "$standin" ]; then
	echo "build first: the command of deploy/system.toml, then review/build-2.sh" >&2
	exit 2
fi
directory=$(mktemp -d) || exit 2
touch "$directory/running"
# supervise starts a process, and starts it again when it has ended, as the platform does.
supervise() {
	while [ -e "$directory/running" ]; do
		(
			# The deploy file limits the descriptors of a process (maxFds).
			[ "$1" = entry ] && [ -n "$ENTRY_DESCRIPTORS" ] && ulimit -n "$ENTRY_DESCRIPTORS"
			PINEVANE_CONFIG="$directory/$2.json" exec "$program" "$1"
		) >>"$directory/$2.log" 2>&1 &
		echo $! >"$directory/$2.pid"
		wait $!
		[ -e "$directory/running" ] && sleep 0.5
	done
}
supervisors=()
finish() {
	rm -f "$directory/running"
	for file in "$directory"/*.pid; do
		[ -e "$file" ] && kill -KILL "$(cat "$file")" 2>/dev/null
	done
	kill -KILL "$standin_pid" 2>/dev/null
	[ ${#supervisors[@]} -gt 0 ] && wait "${supervisors[@]}" 2>/dev/null
	[ -n "$KEEP_LOGS" ] && mkdir -p "$KEEP_LOGS" && cp "$directory"/*.log "$KEEP_LOGS"
	rm -rf "$directory"
}
trap finish EXIT
timeout -k 2 110 "$standin" --scenario "$2" --directory "$directory" --record "$folder/record.txt" &
standin_pid=$!
for _ in $(seq 100); do
	[ -e "$directory/processes" ] && break
	sleep 0.1
done
[ -e "$directory/processes" ] || exit 2
while read -r role name; do
	supervise "$role" "$name" 2>/dev/null &
	supervisors+=($!)
done <"$directory/processes"
wait "$standin_pid"
status=$?
[ "$status" -gt 2 ] && status=2
exit "$status"
