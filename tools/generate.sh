#!/usr/bin/env bash
# Regenerates the committed protobuf sources in src/proto/. Requires Debian's protobuf-compiler
# 3.21.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --proto_path=proto --cpp_out=src/proto proto/*.proto
