# Shared by the scripts of the cases; it is sourced with the case's name in $case and its folder in $folder.
# The stand-in writes one settings file for each process into a temporary folder. Each process is started
# with the command of the deploy file, and the stand-in is told its process ID.
cd "$folder/../.."
[ -x target/review/standin ] && [ -x target/pinevane ] || sh review/build.sh || exit 2
work=$(mktemp -d) || exit 2
pids=""
finish() {
	for pid in $pids; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM
timeout -k 2 110 target/review/standin "$case" "$work" "$folder/record.txt" "${TROUBLE:-1}" &
standin=$!
pids="$standin"
for attempt in $(seq 100); do
	[ -e "$work/settings-written" ] && break
	kill -0 "$standin" 2>/dev/null || break
	sleep 0.1
done
[ -e "$work/settings-written" ] || exit 2
for settings in "$work"/*.json; do
	name=$(basename "$settings" .json)
	role=${name%%-*}
	PINEVANE_CONFIG="$settings" target/pinevane "$role" >"$work/$name.log" 2>&1 &
	pids="$pids $!"
	echo $! >"$work/$name.pid.new" && mv "$work/$name.pid.new" "$work/$name.pid"
done
wait "$standin"
code=$?
[ -n "$KEEP_LOGS" ] && mkdir -p "$KEEP_LOGS" && cp "$work"/*.log "$work"/*.json "$KEEP_LOGS"/
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
