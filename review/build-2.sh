#!/usr/bin/env bash
# Builds the cases of this review with their stand-ins, review/6 to review/10, into
# target/review/.
# Needs the packages of deploy/system.toml only. The programs themselves come from
# the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
shopt -s nullglob
mkdir -p ../target/review
for source in [6-9]/case.cc 1[0]/case.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers \
    -o "../target/review/case-$(dirname "$source")" "$source" -lboost_json -lpthread
done
