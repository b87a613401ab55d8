#!/usr/bin/env bash
# Lesson 4: the coordination parts inside another program, without daemons.
set -euo pipefail
cd "$(dirname "$0")/.."
build/bin/lesson-4-embed
