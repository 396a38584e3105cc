#!/usr/bin/env bash
# Demonstration: six daemons in three regions, a rules file from submission to in force,
# requests while a daemon is killed and the store is cut. Needs a Release build.
set -euo pipefail
cd "$(dirname "$0")/.."
source Utilities/fleet.sh
trap end_fleet EXIT

services=(orders designs proofs)
regions=(carolinas carolinas georgia georgia tennessee tennessee)

echo "== starting the store's stand-in, six daemons and six targets"
start_store
for number in 1 2 3 4 5 6; do
  start_daemon "$number" "${regions[$((number - 1))]}" "dc-$number"
  start_target "$number" "${services[$(((number - 1) % 3))]}"
done
wait_for 20 ctl 1 dump

echo "== submitting Samples/pruitt.rules"
ctl 1 check Samples/pruitt.rules
ctl 1 submit Samples/pruitt.rules --operator demo --base 0 --wait
ctl 6 explain GET /designs/42

# Keyed requests run once the owners of keys are agreed.
has_owners() { ctl "$1" dump | grep -q '"claim_epoch":"[1-9]'; }
for number in 4 5 6; do wait_for 30 has_owners "$number"; done

echo "== lookups and keyed orders while daemon 4 is killed and the store is cut"
callers="$(caller_address 4),$(caller_address 5),$(caller_address 6)"
load_client --addresses "$callers" --path /designs/42 --rate 100 --seconds 8 --threads 6 \
  >"$FLEET_DIR/lookups.txt" &
lookups=$!
load_client --addresses "$callers" --path /orders --method POST --key-prefix demo- \
  --rate 20 --seconds 8 --threads 6 --body-bytes 200 >"$FLEET_DIR/orders.txt" &
orders=$!
sleep 2
kill_process daemon-4
echo "daemon 4 killed"
sleep 2
set_store_faults '{"down": true}'
echo "store cut"
wait "$lookups" "$orders"
echo "lookups: $(cat "$FLEET_DIR/lookups.txt")"
echo "orders:  $(cat "$FLEET_DIR/orders.txt")"

echo "== version in force while the store is away"
ctl 5 status
set_store_faults '{}'
echo "demonstration finished; ending all processes"
