#!/usr/bin/env bash
# Runs a case five times with its disruption and once without it, and prints the exit
# status and the last line of the record of each.
set -uo pipefail
cd "$(dirname "$0")"
for number in "$@"; do
	for trouble in 1 1 1 1 1 0; do
		TROUBLE=$trouble "$number/run.sh" >/dev/null
		printf 'case %s TROUBLE=%s exit %s: %s\n' "$number" "$trouble" "$?" "$(tail -n 1 "$number/record.txt")"
	done
done
