#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/rig3 ] && [ -x ../../target/basilferryd ] || { echo "build first, then run review/build-3.sh" >&2; exit 2; }
exec ../../target/rig3 -case 13 -root ../.. -record record.txt
