#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -w -DBOOST_ASIO_NO_DEPRECATED -DBOOST_ALLOW_DEPRECATED_HEADERS
       -DBOOST_ERROR_CODE_HEADER_ONLY "-DMV_BINARY_DIR=\"$PWD/target\"" -Ireview/common-3
       -Itests/platform -Iplatform -Iinclude -Isrc)
sources=(review/common-3/*.cpp tests/platform/fleet_fixture.cpp tests/platform/store_standin.cpp)
objects=()
jobs=()
for source in "${sources[@]}" review/1[1-5]/case.cpp; do
  [ -e "$source" ] || continue
  object="$out/$(echo "$source" | tr / _).o"
  g++ "${flags[@]}" -c "$source" -o "$object" &
  jobs+=($!)
  case "$source" in
    */case.cpp) ;;
    *) objects+=("$object") ;;
  esac
done
for job in "${jobs[@]}"; do
  wait "$job"
done
for source in review/1[1-5]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ "$out/review_${number}_case.cpp.o" "${objects[@]}" target/libmv_platform.a \
    target/libmv_gateway.a target/libmv_core.a -lyaml-cpp -lxxhash -pthread -o "$out/case-$number"
done
