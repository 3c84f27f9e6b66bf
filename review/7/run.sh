#!/usr/bin/env bash
# Runs the case of this folder; see claim.txt. Exit status: 0 if the rule held, 1 if it was
# broken, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
for program in target/trestled target/review-2/cases2; do
  [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec target/review-2/cases2 release target/trestled "$folder/record.txt"
