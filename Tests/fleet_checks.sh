# Functions shared by the process tests. A test that sources this file gets an empty fleet;
# all processes of the fleet end with the test. The time limits only end a test that hangs and
# are much longer than the operations should take.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

# are_ports_free FIRST_PORT: whether nothing listens on the ports that a test uses
are_ports_free() {
  local number port
  for number in 0 1 2 3 4 5 6; do
    for port in 0 1 2 5; do
      if (: <"/dev/tcp/127.0.0.1/$(($1 + 10 * number + port))") 2>/dev/null; then return 1; fi
    done
  done
}

# Another fleet on the same ports would take part in the test, so the test then tries other
# ports. Steps of 1300 skip the ports of all other process tests.
FLEET_PORT="${FLEET_PORT:-27000}"
for ((attempt = 0; attempt < 4; attempt++)); do
  if are_ports_free "$FLEET_PORT"; then break; fi
  FLEET_PORT=$((FLEET_PORT + 1300))
done
((attempt < 4)) || { echo "no free block of ports found; set FLEET_PORT to another first port" >&2; exit 1; }
source Utilities/fleet.sh

# Seconds.
WAIT_LIMIT=60
RULES="$FLEET_DIR/base.rules"

# Ends the fleet and, if the test failed, prints the ends of all logs.
show_logs_and_end() {
  local code=$?
  end_fleet
  if ((code != 0)); then tail -n 30 "$FLEET_DIR"/*.log || true; fi
  rm -rf "$FLEET_DIR"
}
trap show_logs_and_end EXIT

fail() {
  echo "FAILED: $*" >&2
  exit 1
}

send() { "$FLEET_BIN/Utilities/lacewing_http" "$@"; }

# make_rules EDITION: prints a valid rules file whose text differs for each edition
make_rules() {
  cat <<RULES_END
# edition $1
service orders slots=9 queue=64   # Maria: looms
service designs slots=9 queue=64  # Ana: designs
route place-order path=/orders methods=POST service=orders key=required deadline=5s  # Maria: one run for each order
route lookup path=/designs methods=GET,HEAD service=designs idempotent=yes deadline=5s retries=2  # Ana: lookups
route render path=/renders methods=POST service=designs idempotent=yes deadline=5s retries=2  # Ana: previews
RULES_END
}

get_version() { send GET "$(control_address "$1")" /metrics 2>/dev/null | awk '$1 == "lacewingbridge_rules_version" { print $2 }'; }
is_watching() { send GET "$(control_address "$1")" /metrics 2>/dev/null | grep -qx 'lacewingbridge_watching 1'; }
# has_owners NUMBER: the daemon has a map of the owners of keys
has_owners() { ctl "$1" dump | grep -q '"claim_epoch":"[1-9]'; }
holds_version() { [[ "$(get_version "$1")" == "$2" ]]; }
# knows_targets NUMBER TARGET...: the daemon knows the targets with these numbers
knows_targets() {
  local dump number
  dump=$(ctl "$1" dump) || return 1
  for number in "${@:2}"; do
    [[ "$dump" == *"\"address\":\"$(target_address "$number")\""* ]] || return 1
  done
}
# is_serving NUMBER PATH: a GET request through the daemon succeeds
is_serving() { send GET "$(caller_address "$1")" "$2"; }

# find_watcher NUMBER...: prints the first of these daemons that watches the store
find_watcher() {
  local number
  for number in "$@"; do
    if is_watching "$number"; then
      echo "$number"
      return 0
    fi
  done
  return 1
}

# wait_for_version VERSION NUMBER...: waits until all these daemons hold the version
wait_for_version() {
  local version=$1 number
  shift
  for number in "$@"; do wait_for "$WAIT_LIMIT" holds_version "$number" "$version"; done
}

# submit_edition NUMBER EDITION [OPTION...]: submits the edition through the daemon as soon as
# the daemon runs, based on the previous edition
submit_edition() {
  wait_for "$WAIT_LIMIT" ctl "$1" dump
  make_rules "$2" >"$FLEET_DIR/edition-$2.rules"
  ctl "$1" submit "$FLEET_DIR/edition-$2.rules" --operator tester --base $(($2 - 1)) "${@:3}"
}

# start_isolated_daemon NUMBER: starts a daemon that knows the store but no other daemon. Its
# submissions reach the other daemons only through the store.
start_isolated_daemon() { FLEET_SEEDS="" start_daemon "$1" outside "dc-outside-$1"; }

# record_versions FILE NUMBER...: appends the version of each daemon to the file until killed
record_versions() {
  local file=$1 number version
  shift
  while true; do
    for number in "$@"; do
      version=$(timeout 1 "$FLEET_BIN/Utilities/lacewing_http" GET "$(control_address "$number")" \
        /metrics 2>/dev/null | awk '$1 == "lacewingbridge_rules_version" { print $2 }') || true
      if [[ -n "$version" ]]; then echo "$number $version" >>"$file"; fi
    done
    sleep 0.05
  done
}

# check_never_older FILE: fails if a daemon in the file returned to an older version
check_never_older() {
  awk '$2 < last[$1] { print "daemon " $1 " went from " last[$1] " to " $2; bad = 1 }
       { last[$1] = $2 } END { exit bad }' "$1" || fail "a daemon returned to an older version"
}

# end_background_job PID
end_background_job() {
  kill "$1" 2>/dev/null || true
  wait "$1" 2>/dev/null || true
}
