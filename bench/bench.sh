#!/usr/bin/env bash
# Measures one entry with the stand-ins on this machine: added time, sustained rates, tokens.
#
# usage: bench/bench.sh [OUTPUT.json] [SECONDS]
set -u
cd "$(dirname "$0")/.." || exit 1

OUTPUT="${1:-target/bench.json}"
SECONDS_EACH="${2:-5}"

cargo build --quiet --release -p entry -p stand -p load || exit 1
BIN="${CARGO_TARGET_DIR:-target}/release"
. bench/fleet.sh
fleet_open
fleet_up bench/topology.toml bench/sheet bench/workload.toml || exit 1
"$BIN/camphor-load" bench --workload bench/workload.toml --seconds "$SECONDS_EACH" \
    --entry "$(fleet_address entry-1 callers)" --plain "$(fleet_address service-1 calls)" \
    --engine "$(fleet_address engine-1 calls)" --pid "${PIDS[entry-1]}" --json "$OUTPUT"
