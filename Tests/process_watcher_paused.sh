#!/usr/bin/env bash
# Guards against a paused watcher that puts an old version back in force when it resumes, and
# against updates that wait for it. No daemon ever reports an older version than before.
source "$(dirname "$0")/fleet_checks.sh"

start_store
for number in 1 2 3; do start_daemon "$number" carolinas dc-1; done
start_isolated_daemon 4
wait_for "$WAIT_LIMIT" find_watcher 1 2 3
submit_edition 1 1
wait_for_version 1 1 2 3 4
record_versions "$FLEET_DIR/versions.txt" 1 2 3 4 &
recorder=$!

watcher=$(find_watcher 1 2 3)
signal_process "daemon-$watcher" STOP
left=()
for number in 1 2 3; do [[ $number == "$watcher" ]] || left+=("$number"); done
submit_edition 4 2
wait_for_version 2 "${left[@]}"
signal_process "daemon-$watcher" CONT
submit_edition 4 3
wait_for_version 3 1 2 3 4
sleep 2
end_background_job "$recorder"
check_never_older "$FLEET_DIR/versions.txt"
echo "watcher $watcher paused; $(wc -l <"$FLEET_DIR/versions.txt") readings, none older"
