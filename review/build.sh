#!/usr/bin/env bash
# Builds the programs of the cases into target/review: the stand-ins, and one program for each case
# that has a case.cc.
set -euo pipefail
cd "$(dirname "$0")/.."

output=target/review
mkdir -p "$output"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -Ireview)

objects=()
for source in review/stand_ins/*.cc; do
  object=$output/$(basename "$source" .cc).o
  g++ "${flags[@]}" -c "$source" -o "$object" &
  objects+=("$object")
done
for job in $(jobs -p); do wait "$job"; done

for source in review/[0-9]*/case.cc; do
  [[ -e $source ]] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "${objects[@]}" -o "$output/case_$number"
done
