# Starts and ends the processes of an experiment on loopback; to be sourced by bash scripts.
# It ends only what it started, by process id, and leaves nothing behind.

# Key of the fleet; only good on loopback.
FLEET_KEY="0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
# Tries of 20 ms each that a process has to print its ready line.
READY_TRIES=250
# Tries of 20 ms each that a process has to end after SIGTERM.
END_TRIES=150

declare -A PIDS=()
WORK=""

# fleet_open: makes the directory for outputs and ends everything when the script does.
fleet_open() {
    WORK="$(mktemp -d)"
    mkdir "$WORK/ready"
    trap fleet_close EXIT
    trap 'exit 130' INT TERM
}

# fleet_start NAME COMMAND...: starts a process and waits for its ready line.
fleet_start() {
    local name="$1" tries=0
    shift
    "$@" >"$WORK/ready/$name" 2>"$WORK/$name.err" </dev/null &
    PIDS["$name"]=$!
    until [ -s "$WORK/ready/$name" ]; do
        tries=$((tries + 1))
        if [ "$tries" -gt "$READY_TRIES" ] || ! kill -0 "${PIDS[$name]}" 2>/dev/null; then
            echo "$name did not start: $(tail -n 3 "$WORK/$name.err")" >&2
            return 1
        fi
        sleep 0.02
    done
}

# fleet_address NAME ROLE: prints where a process listens.
fleet_address() {
    sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" "$WORK/ready/$1" | head -n 1
}

# fleet_kill NAME: ends a process at once, as a crash would.
fleet_kill() {
    kill -KILL "${PIDS[$1]}" 2>/dev/null
    wait "${PIDS[$1]}" 2>/dev/null
    unset "PIDS[$1]"
}

# fleet_stop: ends all processes that still run.
fleet_stop() {
    local name tries=0 left
    for name in "${!PIDS[@]}"; do
        kill -TERM "${PIDS[$name]}" 2>/dev/null
    done
    while [ "$tries" -lt "$END_TRIES" ]; do
        left=0
        for name in "${!PIDS[@]}"; do
            kill -0 "${PIDS[$name]}" 2>/dev/null && left=1
        done
        [ "$left" -eq 0 ] && break
        tries=$((tries + 1))
        sleep 0.02
    done
    for name in "${!PIDS[@]}"; do
        kill -KILL "${PIDS[$name]}" 2>/dev/null
        wait "${PIDS[$name]}" 2>/dev/null
    done
    PIDS=()
}

fleet_close() {
    fleet_stop
    [ -n "$WORK" ] && rm -rf "$WORK"
}

# fleet_entry HOST CENTRE SIZE: writes the settings of an entry and starts it.
fleet_entry() {
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

# fleet_up TOPOLOGY SHEET WORKLOAD: starts platform, targets and entries, and publishes.
# Leaves the names in TARGETS and ENTRIES.
fleet_up() {
    local host centre size line
    TARGETS=()
    ENTRIES=()
    fleet_start platform "$BIN/camphor-stand" platform || return 1
    while read -r -a line; do
        TARGETS+=("${line[2]}")
        fleet_start "${line[2]}" "$BIN/camphor-stand" "${line[@]}" || return 1
    done < <("$BIN/camphor-load" topology --file "$1" targets)
    while read -r host centre size; do
        ENTRIES+=("$host")
        fleet_entry "$host" "$centre" "$size" || return 1
    done < <("$BIN/camphor-load" topology --file "$1" entries)
    cat "$WORK"/ready/* >"$WORK/ready.txt"
    "$BIN/camphor-load" publish --platform "$(fleet_address platform operators)" \
        --sheet "$2" --ready "$WORK/ready.txt" --topology "$1" --workload "$3"
}

# fleet_busiest WORKLOAD: prints the name of the entry that the largest customer uses first.
fleet_busiest() {
    local name first
    first="$("$BIN/camphor-load" address --workload "$1" \
        --entry "$(fleet_address "${ENTRIES[0]}" callers)")"
    first="${first%%$'\n'*}"
    for name in "${ENTRIES[@]}"; do
        [ "$(fleet_address "$name" callers)" = "$first" ] && echo "$name"
    done
}

# fleet_options: prints the options of `camphor-load run` that name entries and targets.
fleet_options() {
    local name
    for name in "${ENTRIES[@]}"; do
        echo "--entry $(fleet_address "$name" callers)"
    done
    for name in "${TARGETS[@]}"; do
        echo "--records $(fleet_address "$name" calls)"
    done
}
