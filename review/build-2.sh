#!/bin/sh
# Builds the stand-ins of the second review with what Cargo.lock already holds.
# Run in the root of the repository after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --release --locked --offline --manifest-path review/stand-2/Cargo.toml
