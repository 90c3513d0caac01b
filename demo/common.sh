# Functions of the demonstrations: processes that end with the script, times and waits. Sourced at the root of the repository.
# DEMO_KEEP=DIR keeps the settings, the logs and the time series in DIR.

dir=$(mktemp -d)
declare -A pids=()

cleanup() {
	trap - EXIT INT TERM
	# The hosts' graceful shutdown would take seconds and serves nobody any more.
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

say() { printf '%5.1f s  %s\n' "$(seconds)" "$1"; }

# seconds prints the time since the start of the load, or of the script before that.
readonly script_start=$EPOCHREALTIME
start=$script_start
seconds() { awk -v a="$start" -v b="$EPOCHREALTIME" 'BEGIN { print b - a }'; }

# fail prints why the demonstration cannot go on, and the last lines of a log.
fail() {
	echo "demo: $1" >&2
	if [[ -n ${2:-} ]]; then
		tail -n 5 "$dir/$2.log" >&2 || true
	fi
	exit 1
}

# launch NAME COMMAND... starts a process that ends with the demonstration.
launch() {
	local name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	pids[$name]=$!
}

# await SECONDS COMMAND... repeats a command until it succeeds.
await() {
	local end=$((SECONDS + $1))
	shift
	until "$@"; do
		((SECONDS < end)) || return 1
		sleep 0.1
	done
}

# at SECONDS waits for a time of the load and checks that all processes still run. Bash runs a trap during wait, but not during a command in the foreground.
at() {
	sleep "$(awk -v t="$1" -v now="$(seconds)" 'BEGIN { d = t - now; print (d > 0 ? d : 0) }')" &
	pids[sleep]=$!
	wait "${pids[sleep]}"
	unset "pids[sleep]"
	local name
	for name in "${!pids[@]}"; do
		kill -0 "${pids[$name]}" 2>/dev/null || fail "$name ended early" "$name"
	done
}
