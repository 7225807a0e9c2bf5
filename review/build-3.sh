#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -w -DBOOST_ASIO_NO_DEPRECATED -DBOOST_ALLOW_DEPRECATED_HEADERS
       -DBOOST_ERROR_CODE_HEADER_ONLY "-DMV_BINARY_DIR=\"$PWD/target\"" -Ireview/common-3
       -Itests/platform -Iplatform -Iinclude -Isrc)
common=(review/common-3/case_run.cpp review/common-3/kept_client.cpp
        review/common-3/target_standin.cpp tests/platform/fleet_fixture.cpp
        tests/platform/store_standin.cpp)
cases=(review/common-3/case_1[1-5].cpp)
objects=()
jobs=()
for source in "${common[@]}" "${cases[@]}"; do
  object="$out/$(basename "$source" .cpp).o"
  g++ "${flags[@]}" -c "$source" -o "$object" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do
  wait "$job"
done
for source in "${common[@]}"; do
  objects+=("$out/$(basename "$source" .cpp).o")
done
for source in "${cases[@]}"; do
  name=$(basename "$source" .cpp)
  g++ "$out/$name.o" "${objects[@]}" target/libmv_platform.a target/libmv_gateway.a \
    target/libmv_core.a -lyaml-cpp -lxxhash -pthread -o "$out/$name"
done
