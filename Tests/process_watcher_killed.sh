#!/usr/bin/env bash
# Guards against updates that stop when the daemon that watches the store is killed. After
# kill -9 of the watcher another daemon takes over, and a version that only the store can
# deliver comes into force on all remaining daemons.
source "$(dirname "$0")/fleet_checks.sh"

start_store
for number in 1 2 3; do start_daemon "$number" carolinas dc-1; done
start_isolated_daemon 4
wait_for "$WAIT_LIMIT" find_watcher 1 2 3
submit_edition 1 1
wait_for_version 1 1 2 3 4

watcher=$(find_watcher 1 2 3)
kill_process "daemon-$watcher"
left=()
for number in 1 2 3; do [[ $number == "$watcher" ]] || left+=("$number"); done
submit_edition 4 2
wait_for_version 2 "${left[@]}"
wait_for "$WAIT_LIMIT" find_watcher "${left[@]}"
echo "watcher $watcher killed; version 2 in force on ${left[*]}"
