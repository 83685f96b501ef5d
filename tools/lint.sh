#!/usr/bin/env bash
# Checks formatting and runs the linter over the given modules.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
bin="$root/out/tools"
mkdir -p "$bin"
(cd tools && GOWORK=off go build -o "$bin/gofumpt" mvdan.cc/gofumpt)
(cd tools && GOWORK=off go build -o "$bin/golangci-lint" github.com/golangci/golangci-lint/v2/cmd/golangci-lint)
unformatted=$("$bin/gofumpt" -extra -l "$@")
if [ -n "$unformatted" ]; then
  echo "not formatted: $unformatted" >&2
  exit 1
fi
for module in "$@"; do
  echo "lint $module"
  (cd "$module" && "$bin/golangci-lint" run --config "$root/.golangci.yml" ./...)
done
