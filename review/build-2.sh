#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/harness review/harness-2/*.go
