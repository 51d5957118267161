#!/usr/bin/env bash
# Runs a small fleet on loopback under a mixed load, kills one entry and one target on the way,
# and fails if anything was lost, doubled, cut or misdelivered.
set -u
cd "$(dirname "$0")" || exit 1

# Target that is killed beside the busiest entry.
KILLED_TARGET="model-2"
# Seconds into the load at which the entry is killed.
ENTRY_KILL_TIME=6
# Seconds from there until the target is killed.
TARGET_KILL_TIME=5

cargo build --quiet -p entry -p stand -p load || exit 1
BIN="${CARGO_TARGET_DIR:-target}/debug"
. bench/fleet.sh
fleet_open
fleet_up demo/topology.toml demo/sheet demo/workload.toml || exit 1

KILLED_ENTRY="$(fleet_busiest demo/workload.toml)"
read -r -a options < <(fleet_options | tr '\n' ' ')
"$BIN/camphor-load" run --workload demo/workload.toml --seed "${1:-1}" --case demo --strict \
    --may-die "$(fleet_address "$KILLED_ENTRY" callers)" "${options[@]}" &
load=$!
PIDS[load]=$load
sleep "$ENTRY_KILL_TIME"
fleet_kill "$KILLED_ENTRY"
echo "killed entry $KILLED_ENTRY"
sleep "$TARGET_KILL_TIME"
fleet_kill "$KILLED_TARGET"
echo "killed target $KILLED_TARGET"
wait "$load"
outcome=$?
unset "PIDS[load]"
[ "$outcome" -eq 0 ] && echo "demo passed" || echo "demo failed"
exit "$outcome"
