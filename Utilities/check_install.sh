#!/usr/bin/env bash
# Installs the Release build into a temporary folder and builds the example against it,
# as another project would with find_package(lacewingbridge).
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cmake --install build/release --prefix "$work/tree" >/dev/null
cmake -S Examples/embed -B "$work/build" -G Ninja -DCMAKE_PREFIX_PATH="$work/tree" >/dev/null
cmake --build "$work/build" >/dev/null
"$work/build/embed_example"
"$work/tree/bin/lacewingctl" --help >/dev/null
echo "installed package works"
