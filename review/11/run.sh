#!/usr/bin/env bash
# Runs the case; 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/camphor-edge ] && [ -x target/review-3/release/review-3 ] || exit 2
exec timeout --kill-after=5 115 target/review-3/release/review-3 old-copy review/11
