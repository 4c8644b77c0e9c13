#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, from the root of the repository or anywhere else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/standin.rs -o target/review/standin
