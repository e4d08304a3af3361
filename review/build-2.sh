#!/bin/bash
# Builds the stand-ins of the second review into target/review-2; they need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 -o target/review-2/cases review/standin_2_main.rs
bash review/build-3.sh
