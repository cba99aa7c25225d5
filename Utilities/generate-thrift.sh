#!/usr/bin/env bash
# Generates the committed sources of Source/Wire/gen-cpp. Required only after a
# change of a .thrift file.
set -euo pipefail
cd "$(dirname "$0")/../Source/Wire"
command -v thrift >/dev/null || apt-get install -y -qq thrift-compiler
for it in *.thrift; do
  thrift -out gen-cpp --gen cpp:no_skeleton "$it"
done
