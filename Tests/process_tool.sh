#!/usr/bin/env bash
# Guards against wrong exit codes and wrong --json output of lacewingctl, which scripts rely on.
source "$(dirname "$0")/fleet_checks.sh"

# expect CODE ARGUMENTS...: runs lacewingctl for daemon 1 and checks its exit code. The output is
# in out.txt and err.txt.
expect() {
  local wanted=$1 code=0
  shift
  ctl 1 "$@" >"$FLEET_DIR/out.txt" 2>"$FLEET_DIR/err.txt" || code=$?
  [[ $code == "$wanted" ]] || fail "lacewingctl $* ended with $code, not $wanted: $(cat "$FLEET_DIR/out.txt" "$FLEET_DIR/err.txt")"
}
# shows out|err TEXT: the output of the last command contains the text
shows() { grep -qF -e "$2" "$FLEET_DIR/$1.txt" || fail "no \"$2\" in $1: $(cat "$FLEET_DIR/$1.txt")"; }
is_json() {
  [[ $(wc -l <"$FLEET_DIR/out.txt") == 1 && $(head -c 1 "$FLEET_DIR/out.txt") == "{" ]] ||
    fail "standard output is not one JSON object: $(cat "$FLEET_DIR/out.txt")"
}

make_rules 1 >"$FLEET_DIR/good.rules"
printf 'service a slots=0\nroute b\n' >"$FLEET_DIR/bad.rules"

# Commands while no daemon runs.
expect 0 --help
expect 2
expect 2 unknown-command
expect 2 check
expect 2 status --no-such-option
expect 2 status --timeout soon
expect 2 submit "$FLEET_DIR/good.rules"
expect 1 check "$FLEET_DIR/missing.rules"
shows err "Remedy"
expect 0 check "$FLEET_DIR/good.rules"
expect 3 check "$FLEET_DIR/bad.rules"
shows err "bad.rules:1"
shows err "bad.rules:2"
expect 3 check "$FLEET_DIR/bad.rules" --json
is_json
shows out '"problems"'
expect 1 status
shows err "Remedy"
expect 1 dump
expect 1 drain
expect 5 submit "$FLEET_DIR/good.rules" --base 0 --submission-id first
shows err "--submission-id first"

expect 0 digest < <(printf 'sesame\n')
[[ "$(cat "$FLEET_DIR/out.txt")" == "$(printf sesame | sha256sum | cut -d ' ' -f 1)" ]] ||
  fail "the digest is $(cat "$FLEET_DIR/out.txt")"
for key in '' '\n' 'two words' 'two\nlines\n' 'dos\r\n' 'a,b' 'a%%41b' 'a\x01b'; do expect 2 digest < <(printf "$key"); done

start_store
start_daemon 1 carolinas dc-1
wait_for "$WAIT_LIMIT" ctl 1 dump
wait_for "$WAIT_LIMIT" is_watching 1
expect 1 status
shows err "no rules"
expect 1 explain GET /designs --json
is_json
shows out '"kind":"not_ready"'
expect 3 submit "$FLEET_DIR/bad.rules" --base 0 --json
is_json
shows out '"kind":"rules_invalid"'
expect 0 submit "$FLEET_DIR/good.rules" --base 0 --operator maria --json
is_json
shows out '"number":"1"'
expect 0 status --wait --timeout 60
shows out "version 1 by maria"
expect 0 status --json
is_json
expect 0 explain GET /designs/1
shows out "Ana"
shows out "access: allowed"
expect 0 explain GET /designs/1 --workspace press --json
is_json
shows out '"access":"allowed"'
expect 0 explain POST /orders --json
is_json
expect 1 explain GET /nothing
shows err "no route for GET /nothing"
expect 0 rules
cmp "$FLEET_DIR/out.txt" "$FLEET_DIR/good.rules" || fail "rules prints a text other than the submitted one"
expect 0 rules --json
is_json
make_rules 2 >"$FLEET_DIR/second.rules"
expect 4 submit "$FLEET_DIR/second.rules" --base 0 --json
is_json
shows out '"kind":"submit_conflict"'
shows out '"difference":"'
expect 4 submit "$FLEET_DIR/second.rules" --base 7
shows out "-# edition 1"
shows out "+# edition 2"
expect 0 submit "$FLEET_DIR/second.rules" --base 1 --wait --timeout 60
expect 0 drain
shows out '"draining":true'
