#!/usr/bin/env bash
# Lesson 3: a zone is taken out while a program runs, and brought back.
. "$(dirname "$0")/fleet.inc"

program=$(call -X POST "http://$HOST/v1/programs" -d '{}' |
  sed 's/.*"program":"\([^"]*\)".*/\1/')
turn() {
  call -X POST "http://$HOST/v1/programs/$program/calls" \
    -d "{\"sequence\":$1,\"service\":\"chat\",\"input\":\"turn $1\",\"max_tokens\":8}" |
    tee build/lesson-3.txt
  grep -q '"output"' build/lesson-3.txt
}
turn 1
ctl drain zone z2
turn 2
ctl status
turn 3
ctl restore zone z2
turn 4
ctl explain "$program"
