#!/usr/bin/env bash
# Runs a small fleet on loopback under a mixed load and kills one entry and one target meanwhile.
# Fails if a posting or an answer is lost, doubled, cut off or misdelivered.
#
# usage: demo.sh [SEED]
set -u
cd "$(dirname "$0")" || exit 1

# Target that is killed in addition to the busiest entry.
KILLED_TARGET="model-2"
# Seconds from the start of the load until the busiest entry is killed.
ENTRY_KILL_DELAY_SECONDS=6
# Seconds from then until the target is killed.
TARGET_KILL_DELAY_SECONDS=5

cargo build --quiet -p entry -p stand -p load || exit 1
BIN="${CARGO_TARGET_DIR:-target}/debug"
. bench/fleet.sh
fleet_init
fleet_up demo/topology.toml demo/sheet demo/workload.toml || exit 1

KILLED_ENTRY="$(fleet_busiest_entry demo/workload.toml)"
read -r -a options < <(fleet_options | tr '\n' ' ')
"$BIN/camphor-load" run --workload demo/workload.toml --seed "${1:-1}" --case demo --strict \
    --may-die "$(fleet_address "$KILLED_ENTRY" callers)" "${options[@]}" &
load_pid=$!
PIDS[load]=$load_pid
sleep "$ENTRY_KILL_DELAY_SECONDS"
fleet_kill "$KILLED_ENTRY"
echo "killed entry $KILLED_ENTRY"
sleep "$TARGET_KILL_DELAY_SECONDS"
fleet_kill "$KILLED_TARGET"
echo "killed target $KILLED_TARGET"
wait "$load_pid"
status=$?
unset "PIDS[load]"
[ "$status" -eq 0 ] && echo "demo passed" || echo "demo failed"
exit "$status"
