#!/bin/sh
# Builds the stand-ins of all scripts; they use nothing but Rust's standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[1-5]/case.rs; do
    [ -e "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    rustc --edition 2024 -C opt-level=2 --crate-name "case_$number" -o "target/review/case-$number" "$case"
done
