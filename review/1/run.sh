#!/bin/bash
# Needs the build of the deploy file and review/build.sh. TROUBLE=0 runs without the freeze.
cd "$(dirname "$0")/../.." || exit 2
exec timeout 118 target/review/review-cases replaced-while-frozen review/1
