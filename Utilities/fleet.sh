# Functions to run a small fleet on loopback; sourced by the demonstration, the process
# tests and the measurements. Every process that is started is ended by its id.
#   FLEET_BIN   folder with the programs' build tree
#   FLEET_PORT  first port; daemon i uses FLEET_PORT+10*i (callers) and +1 (control)

FLEET_BIN="${FLEET_BIN:-build/release}"
FLEET_PORT="${FLEET_PORT:-17000}"
FLEET_DIR="$(mktemp -d)"
FLEET_PROFILE="${FLEET_PROFILE:-convergence}"
FLEET_STORE="127.0.0.1:$((FLEET_PORT + 5))"
# Numbers of the daemons that a starting daemon asks first; empty leaves it to the store.
FLEET_SEEDS="${FLEET_SEEDS-1 2 3}"
declare -A FLEET_PIDS=()

end_fleet() {
  for name in "${!FLEET_PIDS[@]}"; do
    kill -CONT "${FLEET_PIDS[$name]}" 2>/dev/null || true
    kill -TERM "${FLEET_PIDS[$name]}" 2>/dev/null || true
  done
  for name in "${!FLEET_PIDS[@]}"; do
    wait "${FLEET_PIDS[$name]}" 2>/dev/null || true
  done
  FLEET_PIDS=()
}

caller_address() { echo "127.0.0.1:$((FLEET_PORT + 10 * $1))"; }
control_address() { echo "127.0.0.1:$((FLEET_PORT + 10 * $1 + 1))"; }
target_address() { echo "127.0.0.1:$((FLEET_PORT + 10 * $1 + 2))"; }

start_store() {
  "$FLEET_BIN/Utilities/lacewing_store_stand_in" --listen "$FLEET_STORE" \
    2>"$FLEET_DIR/store.log" &
  FLEET_PIDS[store]=$!
}

# set_store_faults JSON, for example '{"down": true}'
set_store_faults() {
  "$FLEET_BIN/Utilities/lacewing_http" POST "$FLEET_STORE" /faults "$1" >/dev/null 2>&1
}

get_store_counts() { "$FLEET_BIN/Utilities/lacewing_http" GET "$FLEET_STORE" /counts 2>/dev/null; }

# start_daemon NUMBER REGION DATA_CENTRE [EXTRA_SETTING...]
start_daemon() {
  local number=$1 region=$2 data_centre=$3
  shift 3
  local file="$FLEET_DIR/daemon-$number.toml"
  local seeds="" seed
  for seed in $FLEET_SEEDS; do seeds+="${seeds:+, }\"$(control_address "$seed")\""; done
  {
    echo "host = \"host-$number\""
    echo "region = \"$region\""
    echo "data_centre = \"$data_centre\""
    echo "caller_address = \"$(caller_address "$number")\""
    echo "control_address = \"$(control_address "$number")\""
    echo "store_address = \"$FLEET_STORE\""
    echo "seed_addresses = [$seeds]"
    echo "profile = \"$FLEET_PROFILE\""
    for setting in "$@"; do echo "$setting"; done
  } >"$file"
  "$FLEET_BIN/Source/lacewingbridged" --settings "$file" \
    >>"$FLEET_DIR/daemon-$number.log" 2>&1 &
  FLEET_PIDS[daemon-$number]=$!
}

# start_target NUMBER SERVICE [OPTION...]: a target on the host of that daemon
start_target() {
  local number=$1 service=$2
  shift 2
  "$FLEET_BIN/Utilities/lacewing_target_stand_in" --service "$service" \
    --listen "$(target_address "$number")" --daemon "$(control_address "$number")" "$@" \
    2>>"$FLEET_DIR/target-$number.log" &
  FLEET_PIDS[target-$number]=$!
}

# signal_process NAME SIGNAL
signal_process() { kill "-$2" "${FLEET_PIDS[$1]}"; }

# kill_process NAME
kill_process() {
  kill -KILL "${FLEET_PIDS[$1]}"
  wait "${FLEET_PIDS[$1]}" 2>/dev/null || true
  unset "FLEET_PIDS[$1]"
}

# stop_process NAME: SIGTERM and wait for its end; returns its exit code
stop_process() {
  local code=0
  kill -TERM "${FLEET_PIDS[$1]}"
  wait "${FLEET_PIDS[$1]}" 2>/dev/null || code=$?
  unset "FLEET_PIDS[$1]"
  return "$code"
}

# ctl NUMBER ARGUMENTS...: lacewingctl against the daemon with that number
ctl() {
  local number=$1
  shift
  "$FLEET_BIN/Source/lacewingctl" --daemon "$(control_address "$number")" "$@"
}

# wait_for SECONDS COMMAND...: until the command succeeds
wait_for() {
  local limit=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if ((SECONDS >= limit)); then
      echo "time limit passed while waiting for: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

load_client() { "$FLEET_BIN/Utilities/lacewing_load_client" "$@"; }
