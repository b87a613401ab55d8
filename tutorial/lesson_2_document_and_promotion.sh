#!/usr/bin/env bash
# Lesson 2: a document, checked, applied to trial, and promoted to production.
. "$(dirname "$0")/fleet.inc"

# A fault is named with its line and what is allowed, and nothing is applied.
sed 's|rate = 200/s|rate = fast|' "$DOCUMENT" > build/lesson-2-wrong.ini
if ctl check build/lesson-2-wrong.ini; then exit 1; fi

# The same document for trial, with another burst.
sed -e 's/^name = production/name = trial/' -e 's/^burst = 200/burst = 150/' \
  "$DOCUMENT" > build/lesson-2-trial.ini
ctl check build/lesson-2-trial.ini
ctl apply build/lesson-2-trial.ini
ctl promote trial production
ctl status
ctl --json status | grep -q '"generation":2'
