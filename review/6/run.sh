#!/usr/bin/env bash
# Plays the case and writes record.txt beside this script; TROUBLE=0 plays it without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
case_program=target/review-2/revoked_key_after_restore
if [ ! -x "$case_program" ]; then
    echo "$case_program is missing: run the build of deploy/system.toml and review/build-2.sh first." >&2
    exit 2
fi
echo "Playing $case_program, TROUBLE=${TROUBLE:-1}"
timeout --kill-after=5 110 "$case_program" "$here/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
