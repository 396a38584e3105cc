#!/usr/bin/env bash
# Regenerates Source/Generated from Source/Schema. With --check it only reports
# whether the committed files are up to date.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
out="$work/out"
mkdir -p "$out"
protoc -I Source/Schema --cpp_out="$work" Source/Schema/options.proto
cxx="${CXX:-g++}"
if command -v ccache >/dev/null 2>&1; then cxx="ccache $cxx"; fi
objects=()
for file in Utilities/SchemaGenerator/*.cc "$work/options.pb.cc"; do
  object="$work/$(basename "$file").o"
  $cxx -std=c++20 -O0 -I "$work" -I Utilities/SchemaGenerator -c "$file" -o "$object" &
  objects+=("$object")
done
wait
g++ "${objects[@]}" -lprotoc -lprotobuf -o "$work/generator"
protoc -I Source/Schema --cpp_out="$out" --lacewing_out="$out" \
  --plugin=protoc-gen-lacewing="$work/generator" Source/Schema/*.proto
(cd "$out" && jsonrpcstub "$OLDPWD/Source/Schema/admin.json" \
  --cpp-server=AdminServerStub --cpp-client=AdminClientStub >/dev/null)
if [[ "${1:-}" == "--check" ]]; then
  diff -r "$out" Source/Generated && echo "generated code is up to date"
else
  mkdir -p Source/Generated
  rm -f Source/Generated/*
  cp "$out"/* Source/Generated/
fi
