#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/bin. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/kit"
GOWORK=off go build -buildvcs=false -o ../bin/trial .
