#!/usr/bin/env bash
# Guards against a submission that is reported as failed, or is accepted twice, because the
# store's response to its swap was lost after the swap took effect.
source "$(dirname "$0")/fleet_checks.sh"

start_store
start_daemon 1 carolinas dc-1
wait_for "$WAIT_LIMIT" is_watching 1
wait_for "$WAIT_LIMIT" has_owners 1
# The first lost response is the one to the swap of the text, the second the one to the swap of
# the head.
for edition in 1 2 3; do
  set_store_faults "{\"lose_swap_answers\": $edition}"
  submit_edition 1 "$edition" | tee "$FLEET_DIR/submit.txt"
  set_store_faults '{}'
  grep -q "^accepted as version $edition " "$FLEET_DIR/submit.txt" || fail "not accepted"
  holds_version 1 "$edition" || fail "version $(get_version 1) is in force, not $edition"
done
# A daemon that knows only the store finds the same version, so none was accepted twice.
start_isolated_daemon 4
wait_for_version 3 4
