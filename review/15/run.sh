#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x out/review-3 ] && [ -x target/lentil-platform ] || { echo "build first: the build of the deploy file, then review/build-3.sh" >&2; exit 2; }
timeout 110 out/review-3 drain review/15/record.txt
code=$?
[ $code -le 2 ] || code=2
exit $code
