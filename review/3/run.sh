#!/usr/bin/env bash
# Case 3: KV cache of a tenant that has become isolated is used for other tenants. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standin wall review/3/record.txt
