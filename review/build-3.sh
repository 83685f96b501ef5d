#!/usr/bin/env bash
# Builds the harness of the third review, with its stand-ins for databases, platform and clients, into out/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p out
go build -o out/review-3 review/harness-3/*.go
