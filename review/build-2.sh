#!/usr/bin/env bash
# Builds the stand-ins of the second review and the programs of its cases into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."

output=target/review-2
mkdir -p "$output"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -Ireview)

objects=()
jobs=()
for source in review/support/*.cc; do
  object=$output/$(basename "$source" .cc).o
  g++ "${flags[@]}" -c "$source" -o "$object" &
  jobs+=($!)
  objects+=("$object")
done
for job in "${jobs[@]}"; do wait "$job"; done

for number in 6 7 8 9 10; do
  source=review/$number/case.cc
  [[ -e $source ]] || continue
  g++ "${flags[@]}" "$source" "${objects[@]}" -o "$output/case_$number"
done
