#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into build/review-2. Needs only the
# packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
compile() { # OUTPUT ARGUMENT...
  local output=$1
  shift
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -I review "$@" -o "$output"
}
jobs=()
for source in review/standins-2/*.cxx; do
  compile "$out/$(basename "$source" .cxx).o" -c "$source" &
  jobs+=($!)
done
for source in review/[6-9]/case.cxx review/10/case.cxx; do
  if [ -f "$source" ]; then
    compile "$out/case$(basename "$(dirname "$source")").o" -c "$source" &
    jobs+=($!)
  fi
done
for job in "${jobs[@]}"; do
  wait "$job"
done
for object in "$out"/case*.o; do
  compile "${object%.o}" "$object" "$out"/{http,store,fleet}.o
done
