#!/bin/sh
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it
# without the disruption.
cd "$(dirname "$0")/../../.." || exit 2
for program in bin/merlinhitch bin/merlinhitch-scheduler bin/review-second; do
  [ -x "$program" ] || { echo "$program is missing: run review/build-2.sh"; exit 2; }
done
exec bin/review-second replaced-server review/second/started-anew/record.txt
