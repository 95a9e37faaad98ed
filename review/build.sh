#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into target/review/bin. Needs only the deploy file's packages.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review -j 4
