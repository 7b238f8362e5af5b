#!/usr/bin/env bash
# Builds the stand-ins that the cases start. It needs rustc and nothing else: one file, no dependency.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standins review/standins/main.rs
