#!/bin/sh
# Builds every stand-in that the scripts of the cases start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standins review/standins/*.go
