#!/usr/bin/env bash
# Builds the program that the scripts of the second review start: the cases, with their
# callers, replicas and store. The nodes are built by the deploy file's own line.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/cases2
