#!/usr/bin/env bash
# Builds the stand-ins of the cases. It needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/tool"
go build -o ../../target/reviewtool .
