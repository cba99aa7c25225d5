#!/usr/bin/env bash
# Randomised run of the decision classes with all faults at once.
# soak.sh [--processes] --seed S --seconds T
set -euo pipefail
cd "$(dirname "$0")/.."
for arg in "$@"; do
  if [ "$arg" = --processes ]; then
    echo "soak.sh: --processes is not available yet" >&2
    exit 2
  fi
done
bash Utilities/build.sh release
exec build/release/bin/bulrushfold-soak "$@"
