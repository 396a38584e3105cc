#!/usr/bin/env bash
# Guards against two concurrent submissions that are both accepted or both refused, and against
# a refusal that does not show how the accepted version differs.
source "$(dirname "$0")/fleet_checks.sh"

start_store
for number in 1 2; do start_daemon "$number" carolinas "dc-$number"; done
submit_edition 1 1
wait_for_version 1 1 2

declare -A pids codes
for number in 1 2; do
  { make_rules 1; echo "# added by operator $number"; } >"$FLEET_DIR/side-$number.rules"
  ctl "$number" submit "$FLEET_DIR/side-$number.rules" --operator "operator-$number" --base 1 \
    >"$FLEET_DIR/side-$number.txt" 2>&1 &
  pids[$number]=$!
done
for number in 1 2; do
  codes[$number]=0
  wait "${pids[$number]}" || codes[$number]=$?
done
case "${codes[1]}${codes[2]}" in
  04) winner=1 loser=2 ;;
  40) winner=2 loser=1 ;;
  *) fail "exit codes ${codes[1]} and ${codes[2]}: $(cat "$FLEET_DIR"/side-*.txt)" ;;
esac
for line in "-# added by operator $winner" "+# added by operator $loser" \
  "version 2 by operator-$winner is in force"; do
  grep -qF -e "$line" "$FLEET_DIR/side-$loser.txt" || fail "no \"$line\": $(cat "$FLEET_DIR/side-$loser.txt")"
done
wait_for_version 2 1 2
ctl "$loser" rules 2>/dev/null | cmp - "$FLEET_DIR/side-$winner.rules" || fail "not the winner's text"
