#!/usr/bin/env bash
# Builds Release and runs one benchmark: Utilities/bench.sh NAME [--seed S]
# [options of the benchmark]. --list prints the names of all benchmarks.
set -euo pipefail
cd "$(dirname "$0")/.."
usage="usage: Utilities/bench.sh NAME [--seed S] | --list"
[ $# -ge 1 ] || { echo "$usage" >&2; exit 2; }
bash Utilities/build.sh release
prefix=build/release/bin/bulrushfold-bench-
if [ "$1" = --list ]; then
  for it in "$prefix"*; do
    [ -x "$it" ] && echo "${it#"$prefix"}"
  done
  for it in Utilities/bench-*.sh; do
    it=${it#Utilities/bench-}
    echo "${it%.sh}"
  done
  exit 0
fi
name=$1
shift
# A benchmark with real processes is a script, bench-NAME.sh.
if [ -f "Utilities/bench-$name.sh" ]; then
  exec bash "Utilities/bench-$name.sh" "$@"
fi
if [ ! -x "$prefix$name" ]; then
  echo "no benchmark is named $name; --list shows all" >&2
  exit 2
fi
exec "$prefix$name" "$@"
