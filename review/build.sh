#!/usr/bin/env bash
# Builds the stand-ins and clients of all cases into review/bin, after the build line of
# deploy/system.toml: the store's stand-in of the tests uses the libraries in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
flags=(-std=c++20 -O1 -Wall -Wextra -DBOOST_ASIO_NO_DEPRECATED -DBOOST_ALLOW_DEPRECATED_HEADERS
  -DBOOST_ERROR_CODE_HEADER_ONLY -Iinclude -Isrc -Iplatform -Itests)
objects=()
for source in review/common/*.cpp tests/platform/store_standin.cpp; do
  object="review/bin/$(basename "$source" .cpp).o"
  g++ "${flags[@]}" -c "$source" -o "$object" &
  objects+=("$object")
done
wait
for source in review/[1-5]/*.cpp; do
  [ -e "$source" ] || continue
  g++ "${flags[@]}" "$source" "${objects[@]}" target/libmv_platform.a target/libmv_gateway.a \
    target/libmv_core.a -lyaml-cpp -lxxhash -lpthread \
    -o "review/bin/case-$(basename "$(dirname "$source")")"
done
