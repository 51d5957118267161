#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts. It needs no network: they use the standard
# library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/stand-3/Cargo.toml \
    --target-dir target/review-3
