#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
target="$PWD/target/review-2"
cd review/standin-2
GOWORK=off go build -o "$target/standin" .
