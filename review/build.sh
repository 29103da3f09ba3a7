#!/bin/sh
# Builds every stand-in that the scripts of the review start. The two programs themselves are built
# by the deploy file: cargo build --profile fleet --locked --package platform
set -e
cd "$(dirname "$0")/harness"
exec cargo build --release --locked
