#!/usr/bin/env bash
# Measures the time from applying a change until it is in force at nine instances, three of them with a disk.
# Usage: bench/inforce.sh [CHANGES]; applies 20 changes by default.
set -euo pipefail
cd "$(dirname "$0")/.."
. bench/lib.sh
mkdir -p bin
go build -o bin ./plantainlane ./plantainctl ./standin
trap stop_all EXIT
trap 'exit 130' INT TERM
start_instances 9 3
apply bench/declarations.jsonc
export PLANTAINCTL_CREDENTIAL=$operator_credential
for n in $(seq "${1:-20}"); do
  printf '{"models": [{"name": "m%s", "version": "1", "replicas": 0}]}\n' "$n" >"$data/change.jsonc"
  start=$(date +%s%N)
  bin/plantainctl --instance "127.0.0.1:75$((n % 9 + 1))3" apply "$data/change.jsonc" >"$data/outcome.txt"
  end=$(date +%s%N)
  printf '%s ms: %s\n' $(((end - start) / 1000000)) "$(tail -1 "$data/outcome.txt")"
done
