#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts; they need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/support-2/main.rs
