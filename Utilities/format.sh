#!/usr/bin/env bash
# Formats all sources. With --check, fails when a file is not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=-i
[ "${1:-}" = --check ] && mode="--dry-run --Werror"
git ls-files --cached --others --exclude-standard \
  'Source/*.cxx' 'Source/*.h' 'Tests/*.cxx' 'Tests/*.h' \
  'platform/*.cxx' 'platform/*.h' |
  grep -v gen-cpp | xargs -P 8 -n 16 clang-format $mode
