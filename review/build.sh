#!/bin/sh
# Builds the stand-ins of the scripts.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/harness
