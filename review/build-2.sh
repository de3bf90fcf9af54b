#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, from their sources here and the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=1 -o target/review-2/lab review/lab-2/main.rs
