#!/usr/bin/env bash
# Installs missing packages and builds one CMake preset (default: release).
set -euo pipefail
cd "$(dirname "$0")/.."
preset="${1:-release}"
bash Utilities/install-packages.sh
[ -f "build/$preset/build.ninja" ] || cmake --preset "$preset" >/dev/null
log="build/$preset/build.log"
if ! cmake --build --preset "$preset" >"$log" 2>&1; then
  grep -E 'error|FAILED' "$log" | head -40
  exit 1
fi
