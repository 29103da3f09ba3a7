#!/usr/bin/env bash
# Builds every stand-in that the scripts of the second review start, the project's own too.
set -euo pipefail
cd "$(dirname "$0")/harness-2"
export CARGO_TARGET_DIR="$PWD/../../target/review-2"
exec cargo build --release --locked
