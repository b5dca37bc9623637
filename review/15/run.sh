#!/bin/bash
# Runs the case after the build of the deploy file and review/build-3.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/standin ] && [ -x target/bluebellgate ] && [ -x target/bluebellcore ] || exit 2
exec target/review-3/standin waves review/15/record.txt
