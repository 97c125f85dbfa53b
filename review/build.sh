#!/usr/bin/env bash
# Builds the stand-ins of the review's cases, after the build of the deploy file: one program, standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin/main.rs
