#!/usr/bin/env bash
# Randomised run of the decision classes with all faults at once. With
# --processes, of real processes.
# Usage: soak.sh [--processes] --seed S --seconds T
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = --processes ]; then
  shift
  exec bash Utilities/soak-processes.sh "$@"
fi
bash Utilities/build.sh release
exec build/release/bin/bulrushfold-soak "$@"
