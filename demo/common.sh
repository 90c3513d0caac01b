# Functions that the demonstrations share: starting processes that end with the script, printing elapsed times, and waiting.
# The scripts source this file from the root of the repository.
# If DEMO_KEEP=DIR is set, the settings, the logs and the time series are copied to DIR at the end.

dir=$(mktemp -d)
declare -A pids=()

# cleanup kills the processes, keeps the files if DEMO_KEEP is set, and removes the temporary directory.
cleanup() {
	trap - EXIT INT TERM
	# A graceful shutdown of the hosts would take seconds, and there is no more load that it would protect.
	for name in "${!pids[@]}"; do
		kill -KILL "${pids[$name]}" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	if [[ -n ${DEMO_KEEP:-} ]]; then
		mkdir -p "$DEMO_KEEP"
		cp -r "$dir/." "$DEMO_KEEP"
	fi
	rm -rf "$dir"
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# say TEXT prints the elapsed time and TEXT.
say() { printf '%5.1f s  %s\n' "$(seconds)" "$1"; }

# seconds prints the time since the start of the load or, before the load, since the start of the script.
readonly script_start=$EPOCHREALTIME
start=$script_start
seconds() { awk -v a="$start" -v b="$EPOCHREALTIME" 'BEGIN { print b - a }'; }

# fail TEXT [NAME] prints why the demonstration cannot continue and the last lines of the log of process NAME, and exits.
fail() {
	echo "demo: $1" >&2
	if [[ -n ${2:-} ]]; then
		tail -n 5 "$dir/$2.log" >&2 || true
	fi
	exit 1
}

# launch NAME COMMAND... starts a process in the background. It is killed at the end of the script.
launch() {
	local name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	pids[$name]=$!
}

# await SECONDS COMMAND... repeats a command until it succeeds. It fails if this takes longer than SECONDS.
await() {
	local end=$((SECONDS + $1))
	shift
	until "$@"; do
		((SECONDS < end)) || return 1
		sleep 0.1
	done
}

# at SECONDS waits until SECONDS after the start of the load and checks that all processes still run. The sleep runs in the
# background because bash runs traps during wait, but not during a foreground command.
at() {
	sleep "$(awk -v t="$1" -v now="$(seconds)" 'BEGIN { d = t - now; print (d > 0 ? d : 0) }')" &
	pids[sleep]=$!
	wait "${pids[sleep]}"
	unset "pids[sleep]"
	local name
	for name in "${!pids[@]}"; do
		kill -0 "${pids[$name]}" 2>/dev/null || fail "process $name ended early" "$name"
	done
}
