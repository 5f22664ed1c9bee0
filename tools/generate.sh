#!/usr/bin/env bash
# Regenerates the committed protocol code from src/peer/peer.proto.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I src/peer --cpp_out=src/peer/generated --grpc_out=src/peer/generated \
    --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" src/peer/peer.proto
