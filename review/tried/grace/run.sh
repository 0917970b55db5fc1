#!/usr/bin/env bash
# The platform raises graceS and sends SIGHUP, then stops a process. TROUBLE=0: that graceS from the start, no SIGHUP.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
exec python3 case.py
