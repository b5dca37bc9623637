#!/usr/bin/env bash
# Case 1: a stale order undoes an acknowledged evacuation. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standin evac review/1/record.txt
