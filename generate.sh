#!/usr/bin/env bash
# Writes internal/gen from proto/. The result is committed: building and testing need no generator.
set -eu
cd "$(dirname "$0")"
go tool -modfile=tools/go.mod buf generate
