#!/usr/bin/env bash
# Installs missing packages, then configures and builds all programs and tests.
#
#   tools/build.sh [FOLDER [CMAKE_ARGS...]]     builds into FOLDER; build/ by default
set -euo pipefail
cd "$(dirname "$0")/.."
build="${1:-build}"
tools/install_deps.sh
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake -S . -B "$build" -G Ninja "${@:2}" >"$build.configure.log" 2>&1 ||
  { cat "$build.configure.log"; exit 1; }
mv "$build.configure.log" "$build/configure.log"
cmake --build "$build"
