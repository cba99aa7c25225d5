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
cases=(review/[1-5]/case.cxx review/outside/*/case.cxx)
name_of() { # SOURCE
  local folder
  folder=$(basename "$(dirname "$1")")
  case $folder in
    [1-5]) echo "case$folder" ;;
    *) echo "$folder" ;;
  esac
}
for case in "${cases[@]}"; do
  compile "build/review/$(name_of "$case").o" -c "$case" &
done
wait
for case in "${cases[@]}"; do
  name=$(name_of "$case")
  compile "build/review/$name" "build/review/$name.o" \
    build/review/{http,platform,runner}.o
done
