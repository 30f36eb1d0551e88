#!/usr/bin/env bash
# Runs experiments from end to end: starts the processes, runs the scenario, stops them by process ID.
# Usage: bench/run.sh [EXPERIMENT...]; all of bench/experiments if none is named. Results go to $BENCH_OUT.
#
# An experiment is a scenario, NAME.jsonc, and NAME.sh beside it, which starts fakes in a function fakes, may
# set instances, disks, declarations and flags, and may act on the scenario's marks in a function on_mark.
set -euo pipefail
cd "$(dirname "$0")/.."
. bench/lib.sh
out=${BENCH_OUT:-data/results}
mkdir -p "$out" bin
go build -o bin ./plantainlane ./plantainctl ./standin
trap stop_all EXIT
trap 'exit 130' INT TERM

run() {
  local name=$1 status=0
  instances=3 disks=${BENCH_DISKS:-3} declarations=bench/declarations.jsonc flags=(${BENCH_FLAGS---compare})
  on_mark() { echo "bench: nothing to do at mark $*"; }
  . "bench/experiments/$name.sh"
  start_instances "$instances" "$disks" && apply "$declarations" && fakes && await_fakes || { stop_all; return 1; }
  # Marks come on standard error; they are acted on here, where the process IDs are known.
  coproc EXPERIMENT {
    bin/standin experiment "${flags[@]}" --svg "$out/$name.svg" "bench/experiments/$name.jsonc" 2>&1 >"$out/$name.txt"
  }
  local pid=$EXPERIMENT_PID word policy mark
  while read -r -u "${EXPERIMENT[0]}" word policy mark; do
    case $word in
      mark) on_mark "$policy" "$mark" ;;
      *) echo "$word $policy $mark" ;;
    esac
  done
  wait "$pid" || status=$?
  stop_all
  echo "== $name: exit $status"
  grep '^target\|^plantainlane:\|^baseline:\|^(all) ' "$out/$name.txt" || true
  return "$status"
}

names=("$@")
if [ ${#names[@]} -eq 0 ]; then
  for file in bench/experiments/*.jsonc; do names+=("$(basename "$file" .jsonc)"); done
fi
missed=0
for name in "${names[@]}"; do run "$name" || missed=$((missed + 1)); done
echo "== $missed of ${#names[@]} experiments missed a target"
[ "$missed" -eq 0 ]
