#!/bin/sh
# Builds the stand-ins that the scripts of the cases 4 to 6 start. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/stand_in_2 review/stand_ins_2/main.rs
