#!/bin/sh
# Regenerates the committed protobuf and gRPC code; the build itself needs no generator.
set -eu
cd "$(dirname "$0")/.."
generate() {
    (cd "$1" && protoc --cpp_out=. --grpc_out=. \
        --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" "$2")
}
generate libs/transport/proto EntryVm.proto
generate libs/gateway/proto Gateway.proto
