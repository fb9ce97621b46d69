#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 to review/8 start. It needs only the standard library.
set -euo pipefail
cd "$(dirname "$0")/lab"
go build -o ../../target/review-lab .
