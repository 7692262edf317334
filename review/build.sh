#!/bin/bash
# Builds the stand-ins of the review's scripts: one program, from the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review-cases review/standin/main.rs
