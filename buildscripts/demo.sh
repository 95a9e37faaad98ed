#!/usr/bin/env bash
# On a fresh machine: installs the dependencies, builds, starts an example deployment and sends real requests
# through it.
# Usage: buildscripts/demo.sh [bureau|plisse] [requests per second of each stream] [stay]
set -euo pipefail
cd "$(dirname "$0")/.."
buildscripts/install.sh
buildscripts/build.sh | tail -1
exec build/bin/bth-demo "examples/${1:-bureau}" "${2:-60}" "${3:-}"
