#!/usr/bin/env bash
# Guards against requests that are lost or aborted when a target or a daemon drains, and against
# new requests to a target that has announced that it drains.
source "$(dirname "$0")/fleet_checks.sh"

# start_slow_requests COUNT DAEMON: starts requests in the background, each on its own connection
requests=()
start_slow_requests() {
  local i
  for ((i = 0; i < $1; i++)); do
    send GET "$(caller_address "$2")" "/designs/slow" >>"$FLEET_DIR/slow.txt" 2>&1 &
    requests+=($!)
  done
}
wait_for_requests() {
  local pid
  for pid in "${requests[@]}"; do
    wait "$pid" || fail "a request in flight received no response: $(cat "$FLEET_DIR/slow.txt")"
  done
  requests=()
}
count_runs() { send GET "$(target_address "$1")" /counts 2>/dev/null | awk '{ sum += $2 } END { print sum + 0 }'; }

start_store
for number in 1 2; do
  start_daemon "$number" carolinas dc-1
  start_target "$number" designs --delay-ms 1000 --drain-ms 12000
done
submit_edition 1 1
wait_for_version 1 1 2
for number in 1 2; do wait_for "$WAIT_LIMIT" is_serving "$number" /designs/1; done
for number in 1 2; do wait_for "$WAIT_LIMIT" knows_targets "$number" 1 2; done

# A target drains: requests in flight receive their responses, and after a few seconds the
# target receives no new requests although callers go on sending.
start_slow_requests 6 1
start_slow_requests 6 2
sleep 0.3
signal_process target-2 TERM
wait_for_requests
sleep 4
before=$(count_runs 2)
load_client --addresses "$(caller_address 1),$(caller_address 2)" --path /designs/2 \
  --rate 4 --seconds 3 --threads 4 >"$FLEET_DIR/load.txt"
after=$(count_runs 2)
[[ $before == "$after" ]] || fail "a draining target received $((after - before)) requests"
grep -q ' 200=12 ' "$FLEET_DIR/load.txt" || fail "$(cat "$FLEET_DIR/load.txt")"
wait "${FLEET_PIDS[target-2]}" || fail "the target ended with $?"
unset "FLEET_PIDS[target-2]"

# A daemon drains: it completes the requests in flight and exits with code 0.
start_slow_requests 8 2
sleep 0.3
started=$SECONDS
stop_process daemon-2 || fail "SIGTERM ended the daemon with $?"
echo "daemon ended after $((SECONDS - started)) s"
wait_for_requests
is_serving 1 /designs/3 || fail "the other daemon does not serve"
