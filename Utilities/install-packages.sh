#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
packages=(
  build-essential cmake ninja-build ccache pkg-config git
  clang-format clang-tidy curl
  libsigc++-3.0-dev libevent-dev libhttp-parser-dev libthrift-dev libboost-dev libcli11-dev
  libabsl-dev doctest-dev libeasyloggingpp-dev libinih-dev libxxhash-dev
  nlohmann-json3-dev librapidcheck-dev libssl-dev spin
)
missing=()
for p in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q 'ok installed' ||
    missing+=("$p")
done
if [ ${#missing[@]} -gt 0 ]; then
  export DEBIAN_FRONTEND=noninteractive
  apt-get update -qq
  apt-get install -y -qq "${missing[@]}" >/dev/null
fi
