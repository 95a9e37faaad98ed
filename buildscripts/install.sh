#!/usr/bin/env bash
# Installs the Debian packages that the build, the formatter, the linter and the tests need.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends \
    g++ cmake ninja-build ccache clang-format clang-tidy \
    libboost1.81-dev libboost-log1.81-dev libboost-program-options1.81-dev \
    libboost-json1.81-dev libboost-thread1.81-dev \
    prometheus-cpp-dev libcurl4-openssl-dev zlib1g-dev catch2 libxxhash-dev libsodium-dev >/dev/null
