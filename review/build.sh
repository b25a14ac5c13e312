#!/usr/bin/env bash
# Builds the stand-ins (clients, workers, operator, cut links) that the scripts
# review/N/run.sh start. It needs the Rust compiler only, no library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -D warnings -o target/review/standins review/standins/main.rs
