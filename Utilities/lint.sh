#!/usr/bin/env bash
# Runs clang-tidy on all project sources or on the given files. A file that
# passed is checked again only after it, a header that it includes or
# .clang-tidy has changed. Requires a release build, which records the headers
# of each file.
set -euo pipefail
cd "$(dirname "$0")/.."
build=build/release
[ -f "$build/compile_commands.json" ] || cmake --preset release >/dev/null
if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard \
    'Source/*.cxx' 'Tests/*.cxx' 'platform/*.cxx' | grep -v gen-cpp)
fi
mkdir -p build/lint
# Writes one line per source: its path and the project headers that it includes.
ninja -C "$build" -t deps 2>/dev/null | awk -v root="$PWD/" '
  function flush() { if (n) print line; n = 0; line = "" }
  /^[^ ]/ { flush(); next }
  /^ / { path = $1
    if (index(path, root) == 1) path = substr(path, length(root) + 1)
    else if (path ~ /^\//) next
    line = line (n++ ? " " : "") path }
  END { flush() }' >build/lint/headers
check() {
  local file=$1 key stamp out
  key=$({ cat .clang-tidy
    grep -E "^$file( |\$)" build/lint/headers | head -n 1 | tr ' ' '\n' |
      xargs -r cat
    cat "$file"; } | sha256sum | cut -c1-32)
  stamp="build/lint/$(echo "$file" | tr / _)"
  [ "$(cat "$stamp" 2>/dev/null)" = "$key" ] && return 0
  if ! out=$(clang-tidy --quiet -p build/release "$file" 2>/dev/null); then
    echo "$out"
    return 1
  fi
  echo "$key" >"$stamp"
}
export -f check
printf '%s\n' "${files[@]}" |
  xargs -P "$(nproc)" -I{} bash -c 'check {}'
