#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 from review/kit-2, without a network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/rig review/kit-2/rig.rs
