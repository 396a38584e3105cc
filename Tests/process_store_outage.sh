#!/usr/bin/env bash
# Guards against a store outage that stops requests, makes a submission hang, or keeps a
# restarted daemon from serving the version that its peers hold.
source "$(dirname "$0")/fleet_checks.sh"

start_store
for number in 1 2 3; do start_daemon "$number" carolinas dc-1; done
start_target 1 designs
submit_edition 1 1
wait_for_version 1 1 2 3
for number in 1 2 3; do wait_for "$WAIT_LIMIT" is_serving "$number" /designs/1; done

set_store_faults '{"down": true}'
load_client --addresses "$(caller_address 1),$(caller_address 2),$(caller_address 3)" \
  --path /designs/2 --rate 50 --seconds 3 --threads 3 >"$FLEET_DIR/load.txt"
grep -q '^requests 150 .*200=150 ' "$FLEET_DIR/load.txt" || fail "$(cat "$FLEET_DIR/load.txt")"

code=0
submit_edition 1 2 --json >"$FLEET_DIR/submit.txt" 2>&1 || code=$?
[[ $code == 1 ]] || fail "submit without a store ended with $code: $(cat "$FLEET_DIR/submit.txt")"
grep -q '"kind":"store_unavailable"' "$FLEET_DIR/submit.txt" || fail "$(cat "$FLEET_DIR/submit.txt")"

kill_process daemon-2
start_daemon 2 carolinas dc-1
wait_for_version 1 2
wait_for "$WAIT_LIMIT" is_serving 2 /designs/3
for number in 1 2 3; do
  holds_version "$number" 1 || fail "daemon $number holds $(get_version "$number")"
done
echo "store down: $(cat "$FLEET_DIR/load.txt")"
