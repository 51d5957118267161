#!/usr/bin/env bash
# Runs one workload through cases of load and failure, each with several seeds and a fresh fleet,
# and leaves a report in JSON for each run and a comparison of all.
#
# usage: bench/cases.sh [furrowline|tamarind] [OUTPUT] [CASES] [SEEDS]
#   for instance: bench/cases.sh tamarind /tmp/out "capacity80 killed" "1 2 3"
set -u
cd "$(dirname "$0")/.." || exit 1

WORKLOAD="${1:-furrowline}"
OUTPUT="${2:-target/cases/$WORKLOAD}"
CASES="${3:-capacity80 twice tenfold straggler failing killed}"
SEEDS="${4:-1 2 3}"
# Seconds over which requests arrive in each run.
ARRIVAL_TIME=10
# Seconds into the load at which the failure of a case begins.
FAILURE_TIME=2
# Factor on the workload's rates that makes twice the capacity; as they stand they are 0.8 of it.
TWICE_SCALE=2.5

case "$WORKLOAD" in
    furrowline) SMALL="huron-feed" ENGINE="receipt-model-1" ;;
    tamarind) SMALL="vegetable-guild" ENGINE="show-model-1" ;;
    *) echo "workload $WORKLOAD is neither furrowline nor tamarind" >&2; exit 2 ;;
esac

cargo build --quiet --release -p entry -p stand -p load || exit 1
BIN="${CARGO_TARGET_DIR:-target}/release"
. bench/fleet.sh
fleet_open
mkdir -p "$OUTPUT"

# run_failure CASE BUSIEST: does to the fleet what the case says, some time into the load.
run_failure() {
    sleep "$FAILURE_TIME"
    case "$1" in
        straggler) "$BIN/camphor-load" control --target "$(fleet_address "$ENGINE" calls)" \
            --set '{"speed": 0.1}' ;;
        failing) "$BIN/camphor-load" control --target "$(fleet_address "$ENGINE" calls)" \
            --set '{"fail_share": 1.0}' ;;
        killed) fleet_kill "$2" ;;
    esac
}

# run_case CASE SEED: one run on a fresh fleet.
run_case() {
    local name="$1" seed="$2" options extra=() outcome busiest
    fleet_up "examples/topology/$WORKLOAD.toml" "examples/sheets/$WORKLOAD" \
        "examples/workloads/$WORKLOAD.toml" || return 1
    busiest="$(fleet_busiest "examples/workloads/$WORKLOAD.toml")"
    read -r -a options < <(fleet_options | tr '\n' ' ')
    case "$name" in
        twice) extra=(--scale "$TWICE_SCALE") ;;
        tenfold) extra=(--customer-scale "$SMALL=10") ;;
        killed) extra=(--may-die "$(fleet_address "$busiest" callers)") ;;
    esac
    "$BIN/camphor-load" run --workload "examples/workloads/$WORKLOAD.toml" --seed "$seed" \
        --case "$name" --duration "$ARRIVAL_TIME" --strict --json "$OUTPUT/$name-$seed.json" \
        "${extra[@]}" "${options[@]}" >"$OUTPUT/$name-$seed.txt" &
    PIDS[load]=$!
    run_failure "$name" "$busiest"
    wait "${PIDS[load]}"
    outcome=$?
    unset "PIDS[load]"
    head -n 1 "$OUTPUT/$name-$seed.txt"
    tail -n 1 "$OUTPUT/$name-$seed.txt"
    fleet_stop
    rm -f "$WORK"/ready/*
    return "$outcome"
}

failures=0
for name in $CASES; do
    for seed in $SEEDS; do
        run_case "$name" "$seed" || failures=$((failures + 1))
    done
done
reports=()
for file in "$OUTPUT"/*.json; do
    reports+=(--json "$file")
done
"$BIN/camphor-load" report "${reports[@]}" --out "$OUTPUT"
echo "$failures runs with faults"
[ "$failures" -eq 0 ]
