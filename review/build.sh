#!/usr/bin/env bash
# Builds the stand-ins of the cases into build/review. Needs only the packages
# of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
compile() { # OUTPUT SOURCE...
  local output=$1
  shift
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -I review "$@" -o "$output"
}
for source in review/standins/*.cxx; do
  compile "build/review/$(basename "$source" .cxx).o" -c "$source" &
done
for case in review/[1-5]/case.cxx; do
  compile "build/review/case$(basename "$(dirname "$case")").o" -c "$case" &
done
wait
for case in review/[1-5]/case.cxx; do
  n=$(basename "$(dirname "$case")")
  compile "build/review/case$n" "build/review/case$n.o" \
    build/review/{http,platform,runner}.o
done
