#!/usr/bin/env bash
# All gateways are killed at once while the last replicas of a software version leave. TROUBLE=0: they are not killed.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
exec python3 case.py
