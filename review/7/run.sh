#!/usr/bin/env bash
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/lentil-platform ] || [ ! -x target/review-2/harness ]; then
  echo "build the deploy file and run review/build-2.sh first" >&2
  exit 2
fi
exec target/review-2/harness read-transaction target/lentil-platform "$here"
