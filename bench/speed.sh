#!/usr/bin/env bash
# Compares calls through one instance with direct calls to the same fakes: throughput, latency and gaps between tokens.
# Also measures the memory of the instance for each open stream.
# Usage: bench/speed.sh [FLAG...]; the flags go to standin bench.
set -euo pipefail
cd "$(dirname "$0")/.."
. bench/lib.sh
mkdir -p bin
go build -o bin ./plantainlane ./plantainctl ./standin
trap stop_all EXIT
trap 'exit 130' INT TERM
start_instances 1 1
apply bench/declarations.jsonc
start_fakes encoder encoder 4 7601 --capacity 256 --queue 1000 --service-time 0 --distribution constant --ledger-rows 0
start_fakes generator generator 4 7604 --capacity 512 --service-time 0 --tokens 60 --tokens-per-second 20
await_fakes
bin/standin bench --entry 127.0.0.1:7511 --fakes 127.0.0.1:7601 --fakes 127.0.0.1:7604 --workspace lanterna \
  --key lanterna-key --operator 127.0.0.1:7513 --operator-credential $operator_credential \
  --pid "${instance_pid[1]}" "$@"
