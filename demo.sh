#!/usr/bin/env bash
# Starts three instances and fake upstreams on loopback, applies a contract, serves a request, and shows the request's
# cost by stage and its time line. Runs until Ctrl-C; with --once it exits when it is done.
# Usage: ./demo.sh [--once]; build the programs before with `make build`.
set -euo pipefail
cd "$(dirname "$0")"
export PLANTAINCTL_INSTANCES=127.0.0.1:7113,127.0.0.1:7123,127.0.0.1:7133
export PLANTAINCTL_CREDENTIAL=demo-operator
export STANDIN_CREDENTIAL=demo-upstream
pids=()
stop() {
  trap - EXIT INT TERM
  kill "${pids[@]}" 2>/dev/null || true
  sleep 0.2
  kill -9 "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
}
trap stop EXIT
trap 'exit 130' INT TERM

rm -rf data && mkdir -p data
bin/plantainlane bootstrap demo/instance-a.jsonc
for i in a b c; do
  bin/plantainlane serve "demo/instance-$i.jsonc" >"data/$i.log" 2>&1 &
  pids+=($!)
done
for service in encoder retriever writer accounts; do
  bin/standin upstream --service "$service" --count 2 --zone zone-a --zone zone-b --region demo \
    --announce 127.0.0.1:7112 --announce 127.0.0.1:7122 --announce 127.0.0.1:7132 >"data/$service.log" 2>&1 &
  pids+=($!)
done

# until_ok COMMAND... retries a command for about 30 s until it succeeds. The last try shows its output.
until_ok() {
  for _ in $(seq 150); do
    if "$@" >/dev/null 2>&1; then return; fi
    sleep 0.2
  done
  echo "demo: command still fails after 150 tries: $*" >&2
  "$@"
}
for port in 7111 7121 7131; do until_ok curl -fsS "127.0.0.1:$port/readyz"; done

echo '== apply the contract'
bin/plantainctl apply demo/declarations
bin/plantainctl status

echo '== list the addresses that callers can use'
curl -fsS 127.0.0.1:7121/v1/entries; echo

echo '== run a request'
request() {
  curl --fail-with-body -sS -H 'Authorization: Bearer demo-caller' -H 'Content-Type: application/json' "$@"
}
until_ok request -d '{"input":"warm-up"}' 127.0.0.1:7131/v1/workspaces/hostel/pipelines/guide/requests
answer=$(request -d '{"input":"at the pharmacy"}' 127.0.0.1:7131/v1/workspaces/hostel/pipelines/guide/requests)
echo "$answer"
id=$(sed -E 's/.*"requestId":"([^"]+)".*/\1/' <<<"$answer")

echo '== send a purchase twice with the same idempotency key: it is run once'
for port in 7111 7131; do
  request -H 'Idempotency-Key: order-1' -d '{"input":{"credits":10}}' "127.0.0.1:$port/v1/workspaces/hostel/pipelines/purchase/requests"
  echo
done

echo '== show the cost by stage'
bin/plantainctl cost --workspace hostel
echo '== show the time line of the request'
bin/plantainctl timeline --request "$id"

if [ "${1:-}" = --once ]; then
  echo '== done'
  exit 0
fi
echo '== running: callers use 127.0.0.1:7111, :7121 and :7131, operators :7113, :7123 and :7133. Ctrl-C stops all.'
wait
