# Shared by the scripts of the cases; it is sourced with the case's name in $case and its folder in $folder.
# The stand-in writes one settings file for each process into a temporary folder. Each process is started
# with the command of the deploy file, and again after a short delay when it has ended; the stand-in reads its
# process ID from a file.
cd "$folder/../.."
[ -x target/review/standin ] && [ -x target/pinevane ] || sh review/build.sh || exit 2
work=$(mktemp -d) || exit 2
supervisors=""
standin=""
# supervise runs one process, and kills it when it is told to end.
supervise() {
	trap 'kill -KILL $! 2>/dev/null; wait; exit' TERM
	for start in $(seq 20); do
		PINEVANE_CONFIG="$work/$1.json" target/pinevane "${1%%-*}" >>"$work/$1.log" 2>&1 &
		echo $! >"$work/$1.pid.new" && mv "$work/$1.pid.new" "$work/$1.pid"
		wait $!
		sleep 0.5 &
		wait $!
	done
}
finish() {
	[ -n "$standin" ] && kill -KILL "$standin" 2>/dev/null
	[ -n "$supervisors" ] && kill -TERM $supervisors 2>/dev/null
	wait 2>/dev/null
	rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM
target/review/standin "$case" "$work" "$folder/record.txt" "${TROUBLE:-1}" &
standin=$!
for attempt in $(seq 100); do
	[ -e "$work/settings-written" ] && break
	kill -0 "$standin" 2>/dev/null || break
	sleep 0.1
done
[ -e "$work/settings-written" ] || exit 2
for settings in "$work"/*.json; do
	supervise "$(basename "$settings" .json)" 2>/dev/null &
	supervisors="$supervisors $!"
done
wait "$standin"
code=$?
[ -n "$KEEP_LOGS" ] && mkdir -p "$KEEP_LOGS" && cp "$work"/*.log "$work"/*.json "$KEEP_LOGS"/
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
