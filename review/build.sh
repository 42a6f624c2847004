#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off go build -buildvcs=false -o ../../target/review-standin .
