#!/usr/bin/env bash
# Prints the answers per second through one instance (median of three rounds), alternately with a time line of 65536
# events and without one. Usage: bench/timeline.sh [PAIRS]; runs 3 pairs by default.
set -euo pipefail
cd "$(dirname "$0")/.."
for _ in $(seq "${1:-3}"); do
  for events in 65536 0; do
    printf 'timeline.events %s: ' "$events"
    TIMELINE_EVENTS=$events bench/speed.sh --json | grep -o '"way":"through","perSecond":[0-9]*' | grep -o '[0-9]*$' |
      sort -n | sed -n 2p
  done
done
