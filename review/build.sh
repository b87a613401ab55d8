#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases into review/bin/. Needs the
# packages of deploy/system.toml only. The programs themselves come from the
# build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in */case.cc; do
  name="case-$(dirname "$source")"
  [ $# -gt 0 ] && [ "$name" != "case-$1" ] && continue
  g++ -std=c++20 -I.. -O1 -Wall -Wextra -Wno-missing-field-initializers \
    -o "bin/$name" "$source" -lboost_json -lpthread
done
