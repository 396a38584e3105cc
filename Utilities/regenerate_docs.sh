#!/usr/bin/env bash
# Writes docs/events.md, docs/settings.md and docs/errors.md from the schema; with --check
# it only reports whether they are up to date. Needs a Release build.
set -euo pipefail
cd "$(dirname "$0")/.."
generator="${DOCS_GENERATOR:-build/release/Utilities/lacewing_docs_generator}"
failed=0
for page in events settings errors; do
  if [[ "${1:-}" == "--check" ]]; then
    "$generator" "$page" | diff - "docs/$page.md" || failed=1
  else
    "$generator" "$page" >"docs/$page.md"
  fi
done
if [[ $failed -ne 0 ]]; then
  echo "run Utilities/regenerate_docs.sh and commit the result"
  exit 1
fi
