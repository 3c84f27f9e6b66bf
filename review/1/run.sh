#!/bin/sh
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 does the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/trestled ] && [ -x target/review-harness ] || { echo "build first" >&2; exit 2; }
case "${TROUBLE:-1}" in
0) trouble=off ;;
*) trouble=on ;;
esac
exec target/review-harness restart-of-all "$PWD/target/trestled" "$here/record.txt" "$trouble"
