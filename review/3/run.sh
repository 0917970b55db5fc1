#!/usr/bin/env bash
# A planned stop while callers read their answers slowly. TROUBLE=0: the same without the stop.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
exec python3 case.py
