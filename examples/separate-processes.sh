#!/usr/bin/env bash
# A small system of separate processes on loopback: stand-ins for the platform, three engines, two daemons.
# Configures a tenant and a route with driftctl, sends a streamed request with a long shared prefix through both
# daemons, kills one engine with SIGKILL, and shows that the next request is served.
# Ends only the processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

target=${CARGO_TARGET_DIR:-target}/release
cargo build --release --quiet --package driftspring --package driftctl --package driftspring-standin

work=$(mktemp -d)
declare -a started=()
finish() {
  for process in "${started[@]}"; do kill -9 "$process" 2>/dev/null || true; done
  rm -rf "$work"
}
trap finish EXIT

# start NAME PROGRAM ARGUMENTS…: runs a program in the background and waits for its first line of output.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  started+=("$!")
  disown
  echo "$!" >"$work/$name.pid"
  until [ -s "$work/$name.out" ]; do
    kill -0 "$(cat "$work/$name.pid")" || { cat "$work/$name.log"; exit 1; }
  done
}

# address_of NAME [FIELD]: the address that a process printed when it began to listen.
address_of() {
  grep -oE "\"?${2:-address}\"?[=:] ?\"?[0-9.]+:[0-9]+" "$work/$1.out" | grep -oE '[0-9.]+:[0-9]+$'
}

standin="$target/driftspring-standin"
start store "$standin" object-store
start kv "$standin" kv-store
start weights "$standin" weight-store
declare -a machines=()
for number in 1 2 3; do
  start "engine-$number" "$standin" engine --id "engine-$number" --zone zone-1 --model verdict \
    --weights-version 1 --weight-store "$(address_of weights)"
  machines+=(--machine "engine,engine-$number,$(address_of "engine-$number"),zone-1")
done
start machines "$standin" machine-list "${machines[@]}"

daemon() {
  start "daemon-$1" "$target/driftspring" run --set id="daemon-$1" --set zone=zone-1 \
    --set listen.callers=127.0.0.1:0 --set listen.operators=127.0.0.1:0 --set listen.peers=127.0.0.1:0 \
    --set platform.object_store="$(address_of store)" --set platform.machine_list="$(address_of machines)" \
    --set platform.kv_store="$(address_of kv)" "${@:2}"
}
daemon 1
daemon 2 --set seeds="$(address_of daemon-1 peers)"
# A change waits for the daemons that are members when it is made.
until "$target/driftctl" --server "$(address_of daemon-1 operators)" 'show members' | grep -q daemon-2; do
  kill -0 "$(cat "$work/daemon-2.pid")"
done

driftctl() { "$target/driftctl" --server "$(address_of daemon-1 operators)" "$@"; }
driftctl --wait 10 'add tenant depots key "local-key"'
driftctl --wait 10 'add route depot-verdicts tenant depots model verdict version 1'

# ask DAEMON QUESTION: one streamed completion behind a long shared prefix.
prefix=$(for line in $(seq 200); do printf 'band %03d: keep between 2 and 8 degrees; ' "$line"; done)
ask() {
  curl --silent --show-error --fail-with-body --no-buffer "http://$(address_of "daemon-$1" callers)/v1/completions" \
    -H 'authorization: Bearer local-key' -H 'content-type: application/json' \
    -d "{\"model\":\"verdict\",\"prompt\":\"$prefix $2\",\"max_tokens\":8,\"stream\":true}"
}
echo "== a request through each daemon"
ask 1 "log one" | tail -n 4
ask 2 "log two" | tail -n 4
driftctl 'show engines'
driftctl 'show routes'
driftctl 'show cache'
echo "== engine-1 is killed; the next requests are served by the others"
kill -9 "$(cat "$work/engine-1.pid")"
for question in three four five six; do
  ask 1 "log $question" | grep -qx 'data: \[DONE\]'
  echo "log $question: whole"
done
echo "== the observers of engine-1 have noticed"
until driftctl "show engines where health = unreachable" | grep engine-1; do
  kill -0 "$(cat "$work/daemon-1.pid")"
done
