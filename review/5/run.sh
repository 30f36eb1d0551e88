#!/usr/bin/env bash
# Runs the case; see claim.txt. Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.
cd "$(dirname "$0")" || exit 2
exec ../bin/trial leave ../..
