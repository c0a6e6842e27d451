#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases. They use the standard library only.
# The gateway itself is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/standins-2/main.rs -o target/review-2/review
