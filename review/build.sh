#!/usr/bin/env bash
# Builds the stand-ins of all cases, one program a case, with rustc and the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/[0-9]*/main.rs; do
    number=$(basename "$(dirname "$main")")
    rustc --edition 2021 -C opt-level=2 -A dead_code "$main" -o "target/review/case$number"
done
