#!/usr/bin/env bash
# Guards against bodies that the proxy changes, paths that bypass the rule of their route, and
# wrong responses to HEAD and range requests.
source "$(dirname "$0")/fleet_checks.sh"

start_store
start_daemon 1 carolinas dc-1
start_target 1 designs
start_target 2 orders --daemon "$(control_address 1)"
submit_edition 1 1
wait_for "$WAIT_LIMIT" is_serving 1 /designs/1
# Until the owners of keys are agreed, requests with a key are refused as not run.
wait_for "$WAIT_LIMIT" has_owners 1

# check EXPECTED_STATUS EXPECTED_TEXT METHOD PATH [BODY [HEADER...]]
check() {
  local status=$1 text=$2
  shift 2
  send "$1" "$(caller_address 1)" "${@:2}" >"$FLEET_DIR/out.txt" 2>"$FLEET_DIR/err.txt" || true
  grep -q "^$status" "$FLEET_DIR/err.txt" || fail "$1 $2 ended with $(cat "$FLEET_DIR/err.txt"), not $status"
  grep -qF -e "$text" "$FLEET_DIR/out.txt" || fail "$1 $2 gave $(cat "$FLEET_DIR/out.txt"), not $text"
}

body=$'--b\r\nContent-Disposition: form-data; name="x"\r\n\r\n1\r\n--b--\r\n'
check 200 "bytes=${#body}" POST /renders "$body" "Content-Type=multipart/form-data; boundary=b"
form="x=$(head -c 20000 /dev/zero | tr '\0' y)"
check 200 "bytes=20002" POST /renders "$form" "Content-Type=application/x-www-form-urlencoded"
check 200 "bytes=11" POST /renders "not gzipped" "Content-Encoding=gzip"
check 200 "" HEAD /designs/1
[[ $(tr -d '\n' <"$FLEET_DIR/out.txt") == "" ]] || fail "HEAD has a body"
check 206 "127." GET /designs/1 "" "Range=bytes=0-3"
[[ $(wc -c <"$FLEET_DIR/out.txt") == 5 ]] || fail "a range of 4 bytes has $(wc -c <"$FLEET_DIR/out.txt")"
check "400 not-run" "plain form" GET /designs/../orders
check "400 not-run" "plain form" GET //designs/1
check "404 not-run" "no route" GET /nothing
check "400 not-run" "Idempotency-Key" POST /orders x
check 200 "POST /orders key=k-1" POST /orders x "Idempotency-Key=k-1"
