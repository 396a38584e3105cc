#!/usr/bin/env bash
# Guards against a request that crashes one target after another while its caller resends it,
# and against other requests that fail because of it.
source "$(dirname "$0")/fleet_checks.sh"

count_alive() {
  local count=0 number
  for number in 1 2 3 4 5; do
    if kill -0 "${FLEET_PIDS[target-$number]}" 2>/dev/null; then count=$((count + 1)); fi
  done
  echo "$count"
}

start_store
for number in 1 2 3 4 5; do
  start_daemon "$number" carolinas dc-1
  start_target "$number" designs --crash-text boom
done
submit_edition 1 1
wait_for_version 1 1 2 3 4 5
for number in 1 2; do
  wait_for "$WAIT_LIMIT" is_serving "$number" /designs/1
  wait_for "$WAIT_LIMIT" knows_targets "$number" 1 2 3 4 5
done

has_quarantined() { grep -q 'quarantined' "$FLEET_DIR/daemon-$1.log"; }

# The caller sends the request through one daemon and then, once the other daemon has received
# the crashes by gossip, through that one. Until gossip arrives, each further daemon may lose
# targets to the request.
for number in 1 2; do
  for ((i = 0; i < 5; i++)); do
    send POST "$(caller_address "$number")" /renders "boom" >/dev/null 2>>"$FLEET_DIR/boom.txt" || true
  done
  wait_for "$WAIT_LIMIT" has_quarantined 2
done
alive=$(count_alive)
echo "$alive of 5 targets left; outcomes: $(tr '\n' ' ' <"$FLEET_DIR/boom.txt")"
((alive >= 3)) || fail "$((5 - alive)) of 5 targets crashed"

load_client --addresses "$(caller_address 1),$(caller_address 2)" --path /designs/2 \
  --rate 30 --seconds 2 --threads 4 >"$FLEET_DIR/load.txt"
grep -q ' 200=60 ' "$FLEET_DIR/load.txt" || fail "innocent requests: $(cat "$FLEET_DIR/load.txt")"
send POST "$(caller_address 3)" /renders "quiet" || fail "an innocent request was refused"
