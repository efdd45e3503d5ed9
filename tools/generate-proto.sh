#!/bin/sh
# Regenerates the committed protobuf and gRPC code; the build itself needs no generator.
set -eu
cd "$(dirname "$0")/../libs/transport/proto"
protoc --cpp_out=. --grpc_out=. --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" \
    EntryVm.proto
