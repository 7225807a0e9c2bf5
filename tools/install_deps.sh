#!/usr/bin/env bash
# Installs the missing Debian packages that the build, the tests and the checks need.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy pkg-config
  libboost-dev libboost-system-dev libboost-thread-dev libboost-context-dev libboost-coroutine-dev
  libzmq3-dev cppzmq-dev libprotobuf-dev libyaml-cpp-dev libtclap-dev libeasyloggingpp-dev
  nlohmann-json3-dev libxxhash-dev doctest-dev librapidcheck-dev curl
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
    missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  run=()
  [ "$(id -u)" -eq 0 ] || run=(sudo)
  "${run[@]}" apt-get update
  DEBIAN_FRONTEND=noninteractive "${run[@]}" apt-get install -y --no-install-recommends \
    "${missing[@]}"
fi
