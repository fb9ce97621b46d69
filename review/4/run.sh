#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 the disruption is left
# out. Needs the build of deploy/system.toml and review/build-2.sh. Writes record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/catkinstep ] && [ -x target/review-lab ] || exit 2
exec target/review-lab cutoff review/4/record.txt
