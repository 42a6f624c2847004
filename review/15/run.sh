#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-3/cases-3 ] || exit 2
exec ../../target/review-3/cases-3 host-case .
