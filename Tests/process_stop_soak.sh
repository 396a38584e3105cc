#!/usr/bin/env bash
# Guards against requests that are lost, run twice or refused after they ran while daemons stop,
# singly and in pairs, under clients that pipeline.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

binaries=$(realpath "${FLEET_BIN:-build/release}")
folder=$(mktemp -d)
mkdir "$folder/target"
ln -s "$binaries/platform" "$folder/target/platform"

cd "$folder"
export TMPDIR=$folder
code=0
"$binaries/Utilities/lacewing_stop_soak" --seed "${SOAK_SEED:-1}" --seeds 3 --seconds 10 || code=$?
if ((code != 0)); then
  echo "the records and the logs of the daemons are in $folder" >&2
else
  rm -r "$folder"
fi
exit "$code"
