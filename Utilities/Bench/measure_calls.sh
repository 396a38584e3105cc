#!/usr/bin/env bash
# Latency of calls through one daemon against direct calls to the same target, in turns
# within one run. Needs a Release build.
# Usage: measure_calls.sh [ROUNDS [RATE...]]
set -euo pipefail
cd "$(dirname "$0")/../.."
source Utilities/fleet.sh
trap end_fleet EXIT

rounds="${1:-3}"
rates=("${@:2}")
if [[ ${#rates[@]} -eq 0 ]]; then rates=(150 300 600 1200 2400); fi

start_store
start_daemon 1 carolinas dc-1
start_target 1 designs
wait_for 20 ctl 1 dump
ctl 1 submit Samples/pruitt.rules --operator bench --base 0 --wait >/dev/null
wait_for 20 "$FLEET_BIN/Utilities/lacewing_http" GET "$(caller_address 1)" /designs/42
echo "load average: $(cut -d' ' -f1-3 /proc/loadavg)"
for rate in "${rates[@]}"; do
  for ((round = 1; round <= rounds; ++round)); do
    for name in direct daemon; do
      address="$(target_address 1)"
      if [[ $name == daemon ]]; then address="$(caller_address 1)"; fi
      echo "rate $rate $name: $(load_client --addresses "$address" --path /designs/42 \
        --rate "$rate" --seconds 5 --threads 16)"
    done
  done
done
echo "load average: $(cut -d' ' -f1-3 /proc/loadavg)"
