#!/bin/sh
# Runs the case from the root of the repository, after the build of the deploy file and
# review/build-3.sh. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 does the same without the disruption: the store turns no instance away.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rhubarbrelayd ] && [ -x target/standin-3 ] || { echo "build first" >&2; exit 2; }
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec target/standin-3 turned-away-zone review/11
