#!/bin/sh
# Fails unless the committed protobuf code matches its .proto file.
set -eu
cd "$(dirname "$0")/../proto"
fresh=$(mktemp -d)
trap 'rm -r "$fresh"' EXIT
protoc-c --c_out="$fresh" ibistrestle.proto
cmp ibistrestle.pb-c.c "$fresh/ibistrestle.pb-c.c"
cmp ibistrestle.pb-c.h "$fresh/ibistrestle.pb-c.h"
