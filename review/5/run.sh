#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run; see claim.txt.
# TROUBLE=0 leaves the disruption out. Writes record.txt beside this file.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/dandelionwall-gateway target/release/dandelionwall-sidecar target/review/release/readers; do
  [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec timeout --signal=KILL 118 target/review/release/readers review/5
