#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
case=target/review-2/release/review-case-2
[ -x "$case" ] || exit 2
exec timeout 118 "$case" keys review/10
