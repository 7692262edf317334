#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. Run it in the repository, after the build of
# deploy/system.toml. It needs the Rust compiler only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/lab review/standin-2/main.rs
