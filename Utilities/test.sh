#!/usr/bin/env bash
# Formatter, linter, build without warnings and all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
bash Utilities/install-packages.sh
echo "== formatter"
bash Utilities/format.sh --check
echo "== build"
bash Utilities/build.sh release
echo "== linter"
bash Utilities/lint.sh
echo "== tests"
ctest --test-dir build/release --output-on-failure --timeout 300 -j 4
