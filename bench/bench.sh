#!/usr/bin/env bash
# Measures one entry against stand-in targets on this machine: added latency, sustained request
# rates and token rates.
#
# usage: bench/bench.sh [OUTPUT.json] [SECONDS]
set -u
cd "$(dirname "$0")/.." || exit 1

OUTPUT="${1:-target/bench.json}"
MEASUREMENT_SECONDS="${2:-5}"

cargo build --quiet --release -p entry -p stand -p load || exit 1
BIN="${CARGO_TARGET_DIR:-target}/release"
. bench/fleet.sh
fleet_init
fleet_up bench/topology.toml bench/sheet bench/workload.toml || exit 1
"$BIN/camphor-load" bench --workload bench/workload.toml --seconds "$MEASUREMENT_SECONDS" \
    --entry "$(fleet_address entry-1 callers)" --plain "$(fleet_address service-1 calls)" \
    --engine "$(fleet_address engine-1 calls)" --pid "${PIDS[entry-1]}" --json "$OUTPUT"
