#!/usr/bin/env bash
# Regenerates the committed gRPC and Protocol Buffers code.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I src/peer --cpp_out=src/peer/generated --grpc_out=src/peer/generated \
    --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" src/peer/peer.proto
protoc -I src/link --cpp_out=src/link/generated src/link/link.proto
