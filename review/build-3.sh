#!/usr/bin/env bash
# Builds the stand-ins of the third independent review. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/cases-3"
GOWORK=off go build -buildvcs=false -o ../../target/review-3/cases-3 .
