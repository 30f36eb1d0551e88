#!/usr/bin/env bash
# Builds the program that plays the cases of the second review, with all their stand-ins, into target/.
set -euo pipefail
cd "$(dirname "$0")/kit-2"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -buildvcs=false -o ../../target/review-2 .
