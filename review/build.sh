#!/bin/sh
# Builds the stand-ins and cases of the review; they use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
"${RUSTC:-rustc}" --edition 2024 -O -o target/review/stand-ins review/stand_ins/main.rs
