#!/usr/bin/env bash
# Case 5: a replica leaves that the restarted core does not know. See claim.txt.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 there is no
# disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ "${TROUBLE:-1}" = 0 ]; then
  trouble=false
else
  trouble=true
fi
[ -x target/review-standin ] || exit 2
exec target/review-standin -trouble=$trouble leave review/5/record.txt
