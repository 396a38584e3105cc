#!/usr/bin/env bash
# Convergence time of changes and control bytes over a fleet of daemon processes in 6 data
# centres of 3 regions, with the store and with the store away from all but one daemon.
# Usage: measure_fleet.sh DAEMONS PROFILE [CHANGES]
set -euo pipefail
cd "$(dirname "$0")/../.."
export FLEET_PROFILE="$2"
source Utilities/fleet.sh
trap end_fleet EXIT

count=$1
changes="${3:-10}"
regions=(carolinas carolinas georgia georgia tennessee tennessee)
store=$FLEET_STORE

start_fleet() {
  controls=""
  for ((number = 1; number <= count; ++number)); do
    local place=$(((number - 1) % 6))
    start_daemon "$number" "${regions[$place]}" "dc-$place" "caller_threads = 4"
    # Nothing listens at this address.
    FLEET_STORE=${1:-$store}
    controls+="${controls:+,}$(control_address "$number")"
  done
  FLEET_STORE=$store
  wait_for 20 ctl 1 dump
}

wait_for_members() {
  wait_for 60 bash -c "'$FLEET_BIN/Utilities/lacewing_http' GET '$(control_address "$count")' \
    /metrics | grep -q '^lacewingbridge_members $count\$'"
}

measure_changes() {
  echo "$FLEET_PROFILE, $1: $("$FLEET_BIN/Utilities/Bench/fleet_change" "$(control_address 1)" \
    "$controls" "$changes" 1500)"
}

start_store
start_fleet
wait_for_members
ctl 1 submit Samples/pruitt.rules --operator bench --base 0 >/dev/null
sleep 15
measure_changes "with the store"
sleep 5
"$FLEET_BIN/Utilities/Bench/fleet_traffic" "$controls" 30 10
echo "store calls: $(get_store_counts)"

# Only the first daemon reaches the store; the others must hear of its changes from it.
end_fleet
start_store
start_fleet 127.0.0.1:9
wait_for_members
ctl 1 submit Samples/pruitt.rules --operator bench --base 0 >/dev/null
sleep 15
measure_changes "with the store away"
echo "load average: $(cut -d' ' -f1-3 /proc/loadavg)"
