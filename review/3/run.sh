#!/usr/bin/env bash
# Plays the case: 1 the rule was broken, 0 it held, 2 it could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/merlinhitch ] && [ -x bin/review-3 ] || { echo "not built: see review/build.sh" >&2; exit 2; }
exec bin/review-3 review/3
