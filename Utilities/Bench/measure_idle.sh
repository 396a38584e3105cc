#!/usr/bin/env bash
# Processor time and memory of one daemon at rest, alone and with the records of 900
# members, beside the target's stand-in as a process with an idle HTTP listener.
# Usage: measure_idle.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/../.."
source Utilities/fleet.sh
trap end_fleet EXIT

seconds="${1:-60}"

# Nanoseconds on a processor of all threads that the process has now.
read_processor_ns() { cat /proc/"$1"/task/*/schedstat | awk '{ sum += $1 } END { printf "%d\n", sum }'; }
read_memory_kb() { awk '/^VmRSS/ { print $2 }' "/proc/$1/status"; }

print_rest() {
  local label=$1 pid=$2 before=$3 after=$4
  awk -v label="$label" -v ns=$((after - before)) -v s="$seconds" -v kb="$(read_memory_kb "$pid")" \
    'BEGIN { printf "%s: %.3f %% of a core, resident %.1f MB\n", label, ns / s / 1e7, kb / 1024 }'
}

measure_rest() {
  local daemon="${FLEET_PIDS[daemon-1]}" target="${FLEET_PIDS[target-1]}"
  local daemon_before target_before
  daemon_before=$(read_processor_ns "$daemon")
  target_before=$(read_processor_ns "$target")
  "$FLEET_BIN/Utilities/Bench/fleet_traffic" "$(control_address 1)" "$seconds"
  print_rest "daemon, $1" "$daemon" "$daemon_before" "$(read_processor_ns "$daemon")"
  print_rest "target's stand-in" "$target" "$target_before" "$(read_processor_ns "$target")"
  echo "load average: $(cut -d' ' -f1-3 /proc/loadavg)"
}

start_store
start_daemon 1 region-0 dc-0
start_target 1 designs
wait_for 20 ctl 1 dump
ctl 1 submit Samples/pruitt.rules --operator bench --base 0 --wait >/dev/null
sleep 5
measure_rest "alone"

# The stand-in of the members is the daemon's second seed.
stop_process daemon-1
"$FLEET_BIN/Utilities/Bench/fleet_members" "$(control_address 1)" "$(control_address 2)" 900 \
  $((seconds + 40)) &
FLEET_PIDS[members]=$!
sleep 1
start_daemon 1 region-0 dc-0
sleep 15
measure_rest "with 900 members"
ctl 1 dump | grep -o '"view_distrusted":[a-z]*' || true
