#!/usr/bin/env bash
# Installs what is missing, builds, and runs all tests. Arguments go to ctest.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh build
ctest --test-dir build --output-on-failure --no-tests=error "$@"
