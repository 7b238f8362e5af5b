#!/bin/sh
# Builds the stand-ins of the third review's scripts. Needs the Rust compiler only, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/cases review/standins-3/main.rs
