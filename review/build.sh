#!/usr/bin/env bash
# Builds the stand-ins of the review: one program of the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -A dead_code -o target/review/standin review/main.rs
