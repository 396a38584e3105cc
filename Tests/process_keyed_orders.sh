#!/usr/bin/env bash
# Guards against an order with a key that runs twice, because it is sent through two daemons or
# because a target is killed, and against orders that are reported as not run but have run.
source "$(dirname "$0")/fleet_checks.sh"

# Lists every run of a key, including runs on targets that were killed since.
list_runs() { grep -h '^run ' "$FLEET_DIR"/target-*.log | sort; }

start_store
for number in 1 2 3; do
  start_daemon "$number" carolinas dc-1
  start_target "$number" orders --delay-ms 200 --log-runs
done
submit_edition 1 1
wait_for_version 1 1 2 3
for number in 1 2 3; do wait_for "$WAIT_LIMIT" has_owners "$number"; done
is_order_served() { send POST "$(caller_address "$1")" /orders x "Idempotency-Key=warm-up-$1-$RANDOM"; }
for number in 1 2 3; do wait_for "$WAIT_LIMIT" is_order_served "$number"; done

# The same 60 keys are sent through two daemons at once. For each key, one of the two callers
# may only receive that the order is already running.
send_orders() {
  load_client --addresses "$(caller_address "$1")" --path /orders --method POST \
    --key-prefix twice- --rate 20 --seconds 3 --threads 8 --body-bytes 100 >"$FLEET_DIR/load-$1.txt"
}
pids=()
for number in 1 2; do
  send_orders "$number" &
  pids+=($!)
done
wait "${pids[@]}"
for number in 1 2; do
  cat "$FLEET_DIR/load-$number.txt"
  if grep -qE ' (not-run|gave-up|[345][0-9][0-9])=' "$FLEET_DIR/load-$number.txt"; then
    fail "$(cat "$FLEET_DIR/load-$number.txt")"
  fi
done
[[ $(list_runs | grep -c 'run twice-') == 60 ]] || fail "$(list_runs | grep -c 'run twice-') runs of 60 keys"
# When the keys are resent through a third daemon, every caller receives the response of the
# first run.
send_orders 3
grep -q '^requests 60 .*200=60 ' "$FLEET_DIR/load-3.txt" || fail "$(cat "$FLEET_DIR/load-3.txt")"
[[ $(list_runs | grep -c 'run twice-') == 60 ]] || fail "orders ran again"

# Orders are in flight while a target is killed. Each is sent once.
pids=()
for ((i = 0; i < 24; i++)); do
  send POST "$(caller_address $((i % 3 + 1)))" /orders x "Idempotency-Key=once-$i" \
    >/dev/null 2>"$FLEET_DIR/outcome-$i.txt" &
  pids+=($!)
done
sleep 0.1
kill_process target-3
wait "${pids[@]}" || true
for ((i = 0; i < 24; i++)); do
  outcome=$(cat "$FLEET_DIR/outcome-$i.txt")
  runs=$(list_runs | grep -cx "run once-$i" || true)
  case "$outcome" in
    "200 -") [[ $runs == 1 ]] || fail "once-$i received a response and ran $runs times" ;;
    *" not-run") [[ $runs == 0 ]] || fail "once-$i ran although $outcome" ;;
    *" unknown") ((runs <= 1)) || fail "once-$i ran $runs times" ;;
    *) fail "once-$i ended with \"$outcome\"" ;;
  esac
done
cut -d ' ' -f 1-2 "$FLEET_DIR"/outcome-*.txt | sort | uniq -c

# The callers resend the orders through another daemon. Each order still runs at most once.
pids=()
for ((i = 0; i < 24; i++)); do
  send POST "$(caller_address $(((i + 1) % 3 + 1)))" /orders x "Idempotency-Key=once-$i" >/dev/null 2>&1 &
  pids+=($!)
done
wait "${pids[@]}" || true
twice=$(list_runs | uniq -d)
[[ -z "$twice" ]] || fail "ran more than once: $twice"
