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
# clang 14 knows the coroutines of C++20, but announces them only under the name of the
# technical specification, by which neither libstdc++ nor Boost.Asio 1.74 finds them.
coroutine_args=(--extra-arg=-D__cpp_impl_coroutine=201902L
  --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1 --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1
  --extra-arg=-Wno-builtin-macro-redefined)
report=$(mktemp)
trap 'rm -f "$report"' EXIT
failed=0
printf '%s\0' "${files[@]}" |
  xargs -0 -n 1 -P "${LINT_JOBS:-$(nproc)}" clang-tidy -p build/release --quiet \
    --extra-arg=-Wno-unknown-warning-option "${coroutine_args[@]}" \
    >"$report" 2>/dev/null || failed=1
cat "$report"
if [[ $failed -ne 0 ]]; then
  echo "clang-tidy found problems; correct the lines above"
  exit 1
fi
echo "clang-tidy: ${#files[@]} files clean"
