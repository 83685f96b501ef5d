#!/usr/bin/env bash
# Checks that every test that docs/FAULTS.md names exists.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=0
for name in $(grep -oE '\bTest[A-Z][A-Za-z0-9]+' docs/FAULTS.md | sort -u); do
  if ! grep -rqE "^func $name\(" --include='*_test.go' lentilwind instance entry control platform lentilctl bench tests; then
    echo "docs/FAULTS.md names $name, which does not exist" >&2
    missing=1
  fi
done
exit "$missing"
