#!/usr/bin/env bash
# Builds the stand-ins that the cases of the second review start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig review/standins-2/rig.rs
