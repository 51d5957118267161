#!/usr/bin/env bash
# Runs one workload in several cases of overload and failure, each with several seeds and on a newly
# started fleet. Writes a JSON report for each run and a comparison of all runs.
#
# usage: bench/cases.sh [furrowline|tamarind] [OUTPUT] [CASES] [SEEDS]
#   example: bench/cases.sh tamarind /tmp/out "capacity80 killed" "1 2 3"
set -u
cd "$(dirname "$0")/.." || exit 1

WORKLOAD="${1:-furrowline}"
OUTPUT="${2:-target/cases/$WORKLOAD}"
CASES="${3:-capacity80 twice tenfold straggler failing killed}"
SEEDS="${4:-1 2 3}"
# Seconds over which requests arrive in each run.
ARRIVAL_SECONDS=10
# Seconds from the start of the load to the failure of a case.
FAILURE_DELAY_SECONDS=2
# Factor on the workload's request rates that makes twice the capacity; unscaled they are 0.8 of it.
TWICE_SCALE=2.5

case "$WORKLOAD" in
    furrowline) SMALL_CUSTOMER="huron-feed" FAULTY_ENGINE="receipt-model-1" ;;
    tamarind) SMALL_CUSTOMER="vegetable-guild" FAULTY_ENGINE="show-model-1" ;;
    *) echo "workload $WORKLOAD is neither furrowline nor tamarind" >&2; exit 2 ;;
esac

cargo build --quiet --release -p entry -p stand -p load || exit 1
BIN="${CARGO_TARGET_DIR:-target}/release"
. bench/fleet.sh
fleet_init
mkdir -p "$OUTPUT"

# inject_failure CASE ENTRY: waits and injects the failure of the case, if it has one; ENTRY is the
# entry that the case `killed` kills.
inject_failure() {
    sleep "$FAILURE_DELAY_SECONDS"
    case "$1" in
        straggler) "$BIN/camphor-load" control --target "$(fleet_address "$FAULTY_ENGINE" calls)" \
            --set '{"speed": 0.1}' ;;
        failing) "$BIN/camphor-load" control --target "$(fleet_address "$FAULTY_ENGINE" calls)" \
            --set '{"fail_share": 1.0}' ;;
        killed) fleet_kill "$2" ;;
    esac
}

# run_case CASE SEED: runs a case on a newly started fleet and returns the exit status of the load.
run_case() {
    local name="$1" seed="$2" options extra=() status busiest
    fleet_up "examples/topology/$WORKLOAD.toml" "examples/sheets/$WORKLOAD" \
        "examples/workloads/$WORKLOAD.toml" || return 1
    busiest="$(fleet_busiest_entry "examples/workloads/$WORKLOAD.toml")"
    read -r -a options < <(fleet_options | tr '\n' ' ')
    case "$name" in
        twice) extra=(--scale "$TWICE_SCALE") ;;
        tenfold) extra=(--customer-scale "$SMALL_CUSTOMER=10") ;;
        killed) extra=(--may-die "$(fleet_address "$busiest" callers)") ;;
    esac
    "$BIN/camphor-load" run --workload "examples/workloads/$WORKLOAD.toml" --seed "$seed" \
        --case "$name" --duration "$ARRIVAL_SECONDS" --strict --json "$OUTPUT/$name-$seed.json" \
        "${extra[@]}" "${options[@]}" >"$OUTPUT/$name-$seed.txt" &
    PIDS[load]=$!
    inject_failure "$name" "$busiest"
    wait "${PIDS[load]}"
    status=$?
    unset "PIDS[load]"
    head -n 1 "$OUTPUT/$name-$seed.txt"
    tail -n 1 "$OUTPUT/$name-$seed.txt"
    fleet_stop
    rm -f "$WORK"/ready/*
    return "$status"
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
