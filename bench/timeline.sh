#!/usr/bin/env bash
# Measures answers a second (median of three rounds) through one instance with the time line on and off, in turn. Usage: bench/timeline.sh [PAIRS]
set -euo pipefail
cd "$(dirname "$0")/.."
for _ in $(seq "${1:-3}"); do
  for events in 65536 0; do
    printf 'timeline.events %s: ' "$events"
    TIMELINE_EVENTS=$events bench/speed.sh --json | grep -o '"way":"through","perSecond":[0-9]*' | grep -o '[0-9]*$' |
      sort -n | sed -n 2p
  done
done
