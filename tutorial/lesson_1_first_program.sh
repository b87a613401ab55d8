#!/usr/bin/env bash
# Lesson 1: a first program. Two turns and an order that must not repeat.
. "$(dirname "$0")/fleet.inc"

# A program is created once, however often the request is sent.
program=$(call -X POST "http://$HOST/v1/programs" -H 'Idempotency-Key: lesson-1' \
  -d '{"budget":{"calls":5,"tokens":500}}' | sed 's/.*"program":"\([^"]*\)".*/\1/')
echo "program $program"

# Calls are numbered. Sending number 1 again returns the same answer.
first=$(call -X POST "http://$HOST/v1/programs/$program/calls" \
  -d '{"sequence":1,"service":"chat","input":"Hello","max_tokens":8}')
again=$(call -X POST "http://$HOST/v1/programs/$program/calls" \
  -d '{"sequence":1,"service":"chat","input":"Hello","max_tokens":8}')
echo "$first"
[ "$first" = "$again" ]

# An order: sent twice, run once.
call -X POST "http://$HOST/v1/programs/$program/calls" \
  -d '{"sequence":2,"service":"desk","path":"/charge","input":"{}"}'
call -X POST "http://$HOST/v1/programs/$program/calls" \
  -d '{"sequence":2,"service":"desk","path":"/charge","input":"{}"}'
curl -sS "http://$DESK/executions"; echo
curl -sS "http://$DESK/executions" | grep -q "\"$program/2\":1"

call "http://$HOST/v1/programs/$program/history"
call -X DELETE "http://$HOST/v1/programs/$program"
