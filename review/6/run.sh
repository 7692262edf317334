#!/bin/sh
# FLOW: a flow that is idle for less than the configured time is reset. 1: broken, 0: held, 2: could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/dogwoodrill ] && [ -x target/review-2/lab ] || exit 2
exec target/review-2/lab idle-flow review/6/record.txt
