#!/usr/bin/env bash
# Runs clang-tidy over own sources, or over the given files, with the compile commands
# of build/release.
set -euo pipefail
cd "$(dirname "$0")/.."
if [[ $# -gt 0 ]]; then
  files=("$@")
else
  mapfile -t files < <(find Source Utilities platform -name '*.cc' |
    grep -v -e '^Source/Generated/' -e '^Utilities/SchemaGenerator/')
fi
report=$(mktemp)
trap 'rm -f "$report"' EXIT
failed=0
printf '%s\0' "${files[@]}" |
  xargs -0 -n 1 -P "${LINT_JOBS:-$(nproc)}" clang-tidy -p build/release --quiet \
    --extra-arg=-Wno-unknown-warning-option \
    >"$report" 2>/dev/null || failed=1
cat "$report"
if [[ $failed -ne 0 ]]; then
  echo "clang-tidy found problems; correct the lines above"
  exit 1
fi
echo "clang-tidy: ${#files[@]} files clean"
