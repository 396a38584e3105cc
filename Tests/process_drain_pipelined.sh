#!/usr/bin/env bash
# Guards against requests that a draining daemon passes on behind a response with
# "Connection: close": callers end the connection there and never read their responses.
source "$(dirname "$0")/fleet_checks.sh"

# Sends requests at once on one connection and stores all bytes that come back.
send_pipelined() {
  local connection number
  exec {connection}<>"/dev/tcp/127.0.0.1/$((FLEET_PORT + 10))"
  for number in "$@"; do
    printf 'GET /designs/pipelined-%s HTTP/1.1\r\nHost: designs\r\n\r\n' "$number"
  done >&"$connection"
  timeout 30 cat <&"$connection" >"$FLEET_DIR/responses.txt" || fail "the connection stays open"
  exec {connection}>&-
}
count_runs() { send GET "$(target_address 2)" /counts 2>/dev/null | awk '{ sum += $2 } END { print sum + 0 }'; }

start_store
for number in 1 2; do start_daemon "$number" carolinas dc-1; done
# The target belongs to the other host, so that it takes requests during the drain.
start_target 2 designs --delay-ms 300
submit_edition 1 1
wait_for_version 1 1 2
wait_for "$WAIT_LIMIT" knows_targets 1 2
wait_for "$WAIT_LIMIT" is_serving 1 /designs/1
before=$(count_runs)

send_pipelined 1 2 3 4 &
caller=$!
sleep 0.2
stop_process daemon-1 || fail "SIGTERM ended the daemon with $?"
wait "$caller" || fail "the caller's connection did not end"

runs=$(($(count_runs) - before))
# Responses up to the first that closes the connection; what follows it is not a response.
delivered=$(tr -d '\r' <"$FLEET_DIR/responses.txt" | awk '
  /^HTTP\/1\.1 / && !closed { ++count; if ($2 == 200) ++served }
  tolower($0) == "connection: close" { closed = 1 }
  END { print served + 0 }')
echo "$runs requests ran, $delivered were answered before the close"
((runs > 0)) || fail "no request was in flight at SIGTERM"
((runs == delivered)) || fail "$((runs - delivered)) requests ran without a response:
$(cat "$FLEET_DIR/responses.txt")"
grep -c '^Connection: close' "$FLEET_DIR/responses.txt" | grep -qx 1 ||
  fail "the responses do not state the close once: $(cat "$FLEET_DIR/responses.txt")"
