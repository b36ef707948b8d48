#!/bin/sh
# Builds the stand-ins of the cases: one program with the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/cases review/stand/main.rs
