#!/bin/sh
# Builds the program with the stand-ins and scenarios of the cases 6 to 8. Needs rustc only; run it after
# the build of the deploy file, whose programs the cases start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 -o target/review-2/cases-2 review/cases-2/main.rs
