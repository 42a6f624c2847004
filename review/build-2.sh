#!/bin/sh
# Builds the stand-ins of the second independent review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/harness
