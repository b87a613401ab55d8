#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases, review/N/case; "build.sh N" builds
# one. Needs the packages of deploy/system.toml only. The programs themselves come
# from the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for source in [1-5]/case.cc; do
  number="$(dirname "$source")"
  if [ $# -gt 0 ] && [ "$number" != "$1" ]; then continue; fi
  g++ -std=c++20 -I.. -O1 -Wall -Wextra -Wno-missing-field-initializers \
    -o "$number/case" "$source" -lboost_json -lpthread
done
