#!/usr/bin/env bash
# Guards against a fleet that loses its rules when all daemons restart at the same time, and
# against a burst of store calls at such a restart.
source "$(dirname "$0")/fleet_checks.sh"

start_all() {
  local number
  for number in 1 2 3; do start_daemon "$number" carolinas dc-1; done
  for number in 4 5 6; do start_daemon "$number" georgia dc-2; done
}
count_store_calls() { get_store_counts | grep -o '[0-9]\+' | awk '{ sum += $1 } END { print sum }'; }

start_store
start_all
wait_for "$WAIT_LIMIT" find_watcher 1 2 3
wait_for "$WAIT_LIMIT" find_watcher 4 5 6
submit_edition 1 1
wait_for_version 1 1 2 3 4 5 6

for number in 1 2 3 4 5 6; do kill_process "daemon-$number"; done
before=$(count_store_calls)
started=$SECONDS
start_all
wait_for_version 1 1 2 3 4 5 6
sleep 10
calls=$(($(count_store_calls) - before))
seconds=$((SECONDS - started))
# The limit follows docs/design.md 4.2 for two scopes. Each scope renews its lease every 3 s and
# its watch every 30 s. The start of a scope takes at most 20 calls: lease, watch, head, text,
# seeds and owners, each read and swapped, by the winner of the election and one loser. Each
# of the 6 joining daemons reads the seeds and the head at most once, because seed daemons
# respond to it.
limit=$((2 * (seconds / 3 + 1 + seconds / 30 + 1 + 20) + 6 * 2))
echo "$calls store calls in $seconds s, limit $limit: $(get_store_counts)"
((calls <= limit)) || fail "$calls store calls in $seconds s, limit $limit"
