#!/bin/bash
# Builds the stand-ins of the second review with the Rust toolchain alone: no crates, no network. They come to
# target/review-2/stand-ins. The program under test is built by the deploy file's build command.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/stand-ins review/standins-2/main.rs
