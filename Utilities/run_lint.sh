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

# lint_file FILE: a file is checked again only if its preprocessed text, its compile command,
# the settings of the linter or the linter itself have changed since it was found clean.
lint_file() {
  local file=$1 command key
  command=$(awk -v file="/$file\"" '
    /"command":/ { command = $0 }
    /"file":/ && index($0, file) {
      sub(/^ *"command": "/, "", command); sub(/",? *$/, "", command); gsub(/\\"/, "\"", command)
      print command
    }' build/release/compile_commands.json)
  key=$({ clang-tidy --version; cat .clang-tidy; echo "$command"; } | sha256sum | cut -d' ' -f1)
  key=$({ echo "$key"; bash -c "${command% -o *} -E -P -C $file" 2>/dev/null; } | sha256sum | cut -d' ' -f1)
  if [[ -n "$command" && -e "$LINT_CACHE/$key" ]]; then return 0; fi
  clang-tidy -p build/release --quiet --extra-arg=-Wno-unknown-warning-option \
    "${@:2}" "$file" 2>/dev/null || return 1
  touch "$LINT_CACHE/$key"
}
export -f lint_file
export LINT_CACHE="${LINT_CACHE:-build/lint}"
mkdir -p "$LINT_CACHE"

failed=0
printf '%s\0' "${files[@]}" |
  xargs -0 -I{} -P "${LINT_JOBS:-$(nproc)}" bash -c 'lint_file "$@"' lint {} "${coroutine_args[@]}" \
    >"$report" || failed=1
cat "$report"
if [[ $failed -ne 0 ]]; then
  echo "clang-tidy found problems; correct the lines above"
  exit 1
fi
echo "clang-tidy: ${#files[@]} files clean"
