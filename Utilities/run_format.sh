#!/usr/bin/env bash
# Formats all own sources; with --check it only reports what is not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
if [[ "${1:-}" == "--check" ]]; then mode=(--dry-run --Werror); fi
mapfile -t files < <(find . \( -path ./build -o -path ./target -o -path ./Source/Generated \) -prune \
  -o \( -name '*.cc' -o -name '*.h' \) -print)
clang-format "${mode[@]}" "${files[@]}"
