#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off go build -o ../../target/review-standin .
