# Functions for bash scripts to source: they start and stop the processes of an experiment on
# loopback. Only processes that were started here are stopped, by process id, and all files are
# removed.

# Key that all entries share. It is public, so use it on loopback only.
FLEET_KEY="0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
# Limit of the wait for the ready line of a process, in polls of 20 ms.
READY_POLLS=250
# Limit of the wait for processes to end after SIGTERM, in polls of 20 ms.
END_POLLS=150

declare -A PIDS=()
WORK=""

# fleet_init: creates the directory for settings and outputs, and has the fleet stopped and the
# directory removed when the script exits.
fleet_init() {
    WORK="$(mktemp -d)"
    mkdir "$WORK/ready"
    trap fleet_close EXIT
    trap 'exit 130' INT TERM
}

# fleet_start NAME COMMAND...: starts a process and waits for its ready line.
fleet_start() {
    local name="$1" polls=0
    shift
    "$@" >"$WORK/ready/$name" 2>"$WORK/$name.err" </dev/null &
    PIDS["$name"]=$!
    until [ -s "$WORK/ready/$name" ]; do
        polls=$((polls + 1))
        if [ "$polls" -gt "$READY_POLLS" ] || ! kill -0 "${PIDS[$name]}" 2>/dev/null; then
            echo "$name did not start: $(tail -n 3 "$WORK/$name.err")" >&2
            return 1
        fi
        sleep 0.02
    done
}

# fleet_address NAME ROLE: prints the address of that role from the ready line of a process.
fleet_address() {
    sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" "$WORK/ready/$1" | head -n 1
}

# fleet_kill NAME: kills a process with SIGKILL, as in a crash.
fleet_kill() {
    kill -KILL "${PIDS[$1]}" 2>/dev/null
    wait "${PIDS[$1]}" 2>/dev/null
    unset "PIDS[$1]"
}

# fleet_stop: stops all processes that still run, with SIGKILL if SIGTERM does not end them in time.
fleet_stop() {
    local name polls=0 left
    for name in "${!PIDS[@]}"; do
        kill -TERM "${PIDS[$name]}" 2>/dev/null
    done
    while [ "$polls" -lt "$END_POLLS" ]; do
        left=0
        for name in "${!PIDS[@]}"; do
            kill -0 "${PIDS[$name]}" 2>/dev/null && left=1
        done
        [ "$left" -eq 0 ] && break
        polls=$((polls + 1))
        sleep 0.02
    done
    for name in "${!PIDS[@]}"; do
        kill -KILL "${PIDS[$name]}" 2>/dev/null
        wait "${PIDS[$name]}" 2>/dev/null
    done
    PIDS=()
}

# fleet_close: stops all processes and removes the directory.
fleet_close() {
    fleet_stop
    [ -n "$WORK" ] && rm -rf "$WORK"
}

# fleet_start_entry HOST CENTRE SIZE: writes the settings of an entry and starts it.
fleet_start_entry() {
    cat >"$WORK/$1.toml" <<END
host = "$1"
data_centre = "$2"
size = $3
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
operators = "127.0.0.1:0"
[platform]
address = "$(fleet_address platform service)"
[peers]
key = "$FLEET_KEY"
[log]
level = "warning"
END
    fleet_start "$1" "$BIN/camphor-entry" --settings "$WORK/$1.toml"
}

# fleet_up TOPOLOGY SHEET WORKLOAD: starts the platform, targets and entries, and publishes the
# sheet. Stores the names of targets and entries in the arrays TARGETS and ENTRIES.
fleet_up() {
    local host centre size stand_args
    TARGETS=()
    ENTRIES=()
    fleet_start platform "$BIN/camphor-stand" platform || return 1
    while read -r -a stand_args; do
        TARGETS+=("${stand_args[2]}")
        fleet_start "${stand_args[2]}" "$BIN/camphor-stand" "${stand_args[@]}" || return 1
    done < <("$BIN/camphor-load" topology --file "$1" targets)
    while read -r host centre size; do
        ENTRIES+=("$host")
        fleet_start_entry "$host" "$centre" "$size" || return 1
    done < <("$BIN/camphor-load" topology --file "$1" entries)
    cat "$WORK"/ready/* >"$WORK/ready.txt"
    "$BIN/camphor-load" publish --platform "$(fleet_address platform operators)" \
        --sheet "$2" --ready "$WORK/ready.txt" --topology "$1" --workload "$3"
}

# fleet_busiest_entry WORKLOAD: prints the name of the entry that the largest customer tries first.
fleet_busiest_entry() {
    local name first
    first="$("$BIN/camphor-load" address --workload "$1" \
        --entry "$(fleet_address "${ENTRIES[0]}" callers)")"
    first="${first%%$'\n'*}"
    for name in "${ENTRIES[@]}"; do
        [ "$(fleet_address "$name" callers)" = "$first" ] && echo "$name"
    done
}

# fleet_options: prints the options of `camphor-load run` with the addresses of entries and targets.
fleet_options() {
    local name
    for name in "${ENTRIES[@]}"; do
        echo "--entry $(fleet_address "$name" callers)"
    done
    for name in "${TARGETS[@]}"; do
        echo "--records $(fleet_address "$name" calls)"
    done
}
