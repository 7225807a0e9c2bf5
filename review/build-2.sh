#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into target/review-2, after the build of the
# deploy file. A stand-in of the tests, the store, is used as it is.
set -euo pipefail
cd "$(dirname "$0")/.."
out=${OUT:-target/review-2}
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -DBOOST_ASIO_NO_DEPRECATED -DBOOST_ALLOW_DEPRECATED_HEADERS
  -DBOOST_ERROR_CODE_HEADER_ONLY -Iinclude -Isrc -Iplatform -Itests/platform -Ireview/common-2)
jobs=()
compile() {
  g++ "${flags[@]}" -c "$1" -o "$out/$2.o" &
  jobs+=($!)
}
compile tests/platform/store_standin.cpp store_standin
compile review/common-2/fleet.cpp fleet
for source in review/{6,7,8,9,10}/fleet_case.cpp; do
  if [ -e "$source" ]; then
    compile "$source" "case-$(basename "$(dirname "$source")")"
  fi
done
for job in "${jobs[@]}"; do
  wait "$job"
done
for object in "$out"/case-*.o; do
  g++ "$object" "$out/fleet.o" "$out/store_standin.o" target/libmv_platform.a \
    target/libmv_gateway.a target/libmv_core.a -lyaml-cpp -lxxhash -lpthread -o "${object%.o}"
done
