#!/usr/bin/env bash
# Runs the case of one folder: run_case.sh FOLDER NUMBER. Exits with 1 if the rule was broken, 0 if it held and 2 if
# the case could not run. With TROUBLE=0 the disruption is left out.
set -uo pipefail
folder=$1
program=target/review/bin/case-$2
gateway=target/bin/buckthornhill-gateway
cd "$(dirname "$0")/.."
for file in "$program" "$gateway"; do
    if [ ! -x "$file" ]; then
        echo "$file is missing: build the deploy file and run review/build.sh first."
        exit 2
    fi
done
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
timeout --kill-after=5 115 "$program" "$gateway" "$work" "$folder/record.txt"
status=$?
[ "$status" -le 1 ] || { echo "The case could not run (status $status)."; exit 2; }
exit "$status"
