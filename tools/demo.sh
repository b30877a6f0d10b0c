#!/usr/bin/env bash
# The whole system on loopback: stand-ins for the platform and its targets,
# three instances of umbertraild, and callers that judge every answer. A data
# centre is taken out and brought back, and one instance is stopped, while
# callers go on. Ends all processes that it started; exits with 1 when anything
# was lost, doubled or cut.
#
# Usage: tools/demo.sh [BUILD]
#   UMBERTRAIL_DEMO_PORT     first of nine ports of the instances (free ones)
#   UMBERTRAIL_DEMO_SECONDS  how long callers send (30, at least 24)
#   UMBERTRAIL_DEMO_FAULTS   1: engines also die and their links go silent
#   UMBERTRAIL_DEMO_KEEP     a directory to keep logs and settings in
set -euo pipefail
cd "$(dirname "$0")/.."

build=${1:-build}
port=${UMBERTRAIL_DEMO_PORT:-}
seconds=${UMBERTRAIL_DEMO_SECONDS:-30}
run_for=150  # every stand-in ends by itself after this many seconds
data_centres=(south-a south-b south-c)
closed_centre=south-a

work=$(mktemp -d)
pids=()
engines=()       # addresses, in the order of engine_centres
engine_centres=(south-a south-a south-b south-b south-c south-c)
instances=(0 1 2)
instance_pids=()
entries=()

# Sends a signal to processes that may have ended.
end_all() {
  local signal=$1
  shift
  for it in "$@"; do
    kill "-$signal" "$it" 2>/dev/null || true
  done
}

finish() {
  local code=$?
  trap - EXIT
  local started=("${instance_pids[@]}" "${pids[@]}")
  end_all TERM "${started[@]}"
  # A graceful stop may wait for requests that nobody wants any more.
  for _ in $(seq 50); do
    [ -z "$(jobs -pr)" ] && break
    sleep 0.1
  done
  end_all KILL "${started[@]}"
  wait 2>/dev/null || true
  if [ -n "${UMBERTRAIL_DEMO_KEEP:-}" ]; then
    cp -r "$work/." "$UMBERTRAIL_DEMO_KEEP/"
  elif [ "$code" -ne 0 ]; then
    echo "-- last log lines of each instance"
    tail -n 5 "$work"/instance-*.log 2>/dev/null || true
  fi
  rm -rf "$work"
  exit "$code"
}
trap finish EXIT
trap 'exit 130' INT TERM

fail() {
  echo "demo: $*" >&2
  exit 1
}

# Sets `port` to the first of nine ports on which nobody listens.
choose_ports() {
  for _ in $(seq 50); do
    port=$((12000 + RANDOM % 1800 * 10))
    local free=true
    for n in $(seq 0 8); do
      if (: <"/dev/tcp/127.0.0.1/$((port + n))") 2>/dev/null; then
        free=false
      fi
    done
    [ "$free" = true ] && return
  done
  fail "no free ports"
}

# Starts a stand-in and sets `address` to where it listens.
start_standin() {
  local name=$1
  shift
  : >"$work/$name.log"
  "$build/tools/$1" --run-for "$run_for" "${@:2}" >"$work/$name.log" 2>&1 &
  pids+=($!)
  for _ in $(seq 100); do
    address=$(sed -n 's/^listening //p' "$work/$name.log")
    [ -n "$address" ] && return
    sleep 0.05
  done
  fail "$name does not listen"
}

account_yaml() {
  local hash
  hash=$(printf '%s' "salt-$1secret-$1" | sha256sum | cut -d' ' -f1)
  cat <<YAML
  - {id: $1, key_salt: salt-$1, key_hash: $hash, weight: $2,
     requests_per_second: 1000, tokens_in_flight: 20000000,
     models: [small], services: [desk]}
YAML
}

# Publishes revision $1; $2 says whether the closed data centre is open.
publish_manifest() {
  {
    echo "revision: $1"
    echo "regions: [south]"
    echo "data_centres:"
    for it in "${data_centres[@]}"; do
      local open=true
      [ "$it" = "$closed_centre" ] && open=$2
      echo "  - {id: $it, region: south, open: $open}"
    done
    echo "engine_classes:"
    echo "  - {name: large, checks_fencing: true, memory: 600000, cold_budget: 20000}"
    echo "models:"
    echo "  - {id: small, version: '1', context_limit: 1100000, min_serving: 1}"
    echo "deployments:"
    for it in "${data_centres[@]}"; do
      echo "  - {model: small, data_centre: $it, targets: 2}"
    done
    echo "services:"
    echo "  - {id: desk, calls: [{name: file, repeatable: false}, {name: look, repeatable: true}]}"
    echo "accounts:"
    account_yaml club 1
    account_yaml school 1
    account_yaml association 4
  } >"$work/published/manifest.new"
  mv "$work/published/manifest.new" "$work/published/manifest.yaml"
}

instance_id() { echo "127.0.0.1:$((port + $1))"; }

# Publishes the instance list; instance $1 is leaving, instance $2 is gone.
publish_instances() {
  local lines=()
  for n in "${instances[@]}"; do
    [ "$n" = "${2:-}" ] && continue
    local leaving=false
    [ "$n" = "${1:-}" ] && leaving=true
    lines+=("{\"id\": \"$(instance_id "$n")\", \"data_centre\": \"${data_centres[$n]}\", \"leaving\": $leaving}")
  done
  (IFS=,; echo "[${lines[*]}]") >"$work/published/instances.new"
  mv "$work/published/instances.new" "$work/published/instances.json"
}

publish_targets() {
  local lines=()
  for n in "${!engines[@]}"; do
    lines+=("{\"id\": \"engine-$n\", \"kind\": \"engine\", \"address\": \"${engines[$n]}\", \"data_centre\": \"${engine_centres[$n]}\", \"engine_class\": \"large\"}")
  done
  lines+=("{\"id\": \"desk-0\", \"kind\": \"service\", \"address\": \"$service\", \"data_centre\": \"south-b\", \"service\": \"desk\"}")
  (IFS=,; echo "[${lines[*]}]") >"$work/published/targets.json"
}

start_instance() {
  local n=$1
  cat >"$work/instance-$n.yaml" <<YAML
instance:
  id: $(instance_id "$n")
  data_centre: ${data_centres[$n]}
listen:
  callers: 127.0.0.1:$((port + 3 + n))
  admin: 127.0.0.1:$((port + 6 + n))
platform:
  address: $config
peer:
  key_file: $work/peer.key
log:
  level: info
YAML
  "$build/bin/umbertraild" --settings "$work/instance-$n.yaml" \
    >"$work/instance-$n.log" 2>&1 &
  instance_pids+=($!)
  entries+=("127.0.0.1:$((port + 3 + n))")
}

# Waits until instance $1 says that callers may be sent to it.
await_ready() {
  for _ in $(seq 150); do
    kill -0 "${instance_pids[$1]}" 2>/dev/null || fail "instance $1 ended"
    curl -sf -o /dev/null "http://127.0.0.1:$((port + 6 + $1))/ready" && return
    sleep 0.1
  done
  fail "instance $1 is not ready"
}

counter() {
  curl -s "http://$1/standin/counters" | sed -n "s/.*\"$2\":\([0-9]*\).*/\1/p"
}

# Sets a fault of the engine with this index.
engine_fault() {
  curl -sf -o /dev/null -d "$2" "http://${engines[$1]}/standin/fault"
}

# Requests that the engines of the closed data centre have accepted.
closed_accepted() {
  local sum=0
  for n in "${!engines[@]}"; do
    [ "${engine_centres[$n]}" = "$closed_centre" ] || continue
    sum=$((sum + $(counter "${engines[$n]}" accepted)))
  done
  echo "$sum"
}

[ -x "$build/bin/umbertraild" ] || fail "$build/bin/umbertraild is not built"
[ -n "$port" ] || choose_ports
mkdir "$work/published"
{ printf "k1 "; head -c 32 /dev/urandom | od -An -tx1 | tr -d " \n"; } >"$work/peer.key"
chmod 600 "$work/peer.key"

echo "-- starting stand-ins"
start_standin weights standin_weights
weights=$address
for n in "${!engine_centres[@]}"; do
  options=(--name "engine-$n" --memory 600000 --weights "$weights" --seed "$((n + 1))")
  # The last one starts cold; the second is slower than the rest.
  [ "$n" = 5 ] && options+=(--cold)
  [ "$n" = 1 ] && options+=(--prefill 100000 --decode 100)
  start_standin "engine-$n" standin_engine "${options[@]}"
  engines+=("$address")
done
start_standin service standin_service
service=$address
publish_manifest 1 true
publish_instances
publish_targets
start_standin config standin_config --dir "$work/published"
config=$address

echo "-- starting three instances of umbertraild"
for n in "${instances[@]}"; do
  start_instance "$n"
done
for n in "${instances[@]}"; do
  await_ready "$n"
done

entry_list=$(IFS=,; echo "${entries[*]}")
accounts=club:secret-club,school:secret-school,association:secret-association

echo "-- overhead of a short prompt while nothing else runs"
"$build/tools/demo_client" overhead --entries "$entry_list" \
  --accounts "$accounts" --engines "${engines[0]},${engines[2]}" --count 120

echo "-- $seconds s of prompts and filings"
"$build/tools/demo_client" load --entries "$entry_list" \
  --accounts "$accounts" --service "$service" --seconds "$seconds" \
  >"$work/load.log" 2>&1 &
load=$!
pids+=("$load")

sleep 6
echo "   requests $closed_centre received so far: $(closed_accepted)"
echo "   $closed_centre is taken out"
publish_manifest 2 false
sleep 4
before=$(closed_accepted)
sleep 4
after=$(closed_accepted)
echo "   requests it received in the 4 s from 4 s after: $((after - before))"
echo "   $closed_centre is brought back"
publish_manifest 3 true
back=$(closed_accepted)
sleep 4
echo "   requests it received in the next 4 s: $(($(closed_accepted) - back))"

if [ "${UMBERTRAIL_DEMO_FAULTS:-}" = 1 ]; then
  echo "   open links of engine 0 go silent, engine 2 dies"
  engine_fault 0 '{"mute_streams": true}'
  engine_fault 2 '{"crash": true}'
fi

echo "   instance 2 is stopped"
publish_instances 2
kill -TERM "${instance_pids[2]}"
stopped=0
wait "${instance_pids[2]}" || stopped=$?
publish_instances "" 2
echo "   instance 2 ended with code $stopped"

loaded=0
wait "$load" || loaded=$?
echo "-- what became of it"
cat "$work/load.log"
overloads=0
for it in "${engines[@]}"; do
  overloads=$((overloads + $(counter "$it" cold_overloads)))
done
echo "cold engines that fell over: $overloads"

[ "$loaded" -eq 0 ] || fail "something was lost, doubled, cut or wrong"
[ "$stopped" -eq 0 ] || fail "instance 2 did not stop gracefully"
[ "$after" -eq "$before" ] || fail "$closed_centre received new work while out"
[ "$overloads" -eq 0 ] || fail "a cold engine was overloaded"
echo "demo: nothing was lost, doubled or cut"
