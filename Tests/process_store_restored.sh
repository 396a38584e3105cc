#!/usr/bin/env bash
# Guards against the loss of an accepted version when the store is restored to an older state.
# The daemons write the newer version back, it stays in force, and the next submission gets the
# number after it.
source "$(dirname "$0")/fleet_checks.sh"

start_store
for number in 1 2 3; do start_daemon "$number" carolinas dc-1; done
wait_for "$WAIT_LIMIT" find_watcher 1 2 3
submit_edition 1 1
wait_for_version 1 1 2 3
send POST "$FLEET_STORE" /checkpoint
submit_edition 2 2
wait_for_version 2 1 2 3
record_versions "$FLEET_DIR/versions.txt" 1 2 3 &
recorder=$!

send POST "$FLEET_STORE" /restore
# A daemon that knows only the store can hold the newer version only after it was written back.
start_isolated_daemon 4
wait_for_version 2 1 2 3 4
submit_edition 3 3
wait_for_version 3 1 2 3 4
end_background_job "$recorder"
check_never_older "$FLEET_DIR/versions.txt"
