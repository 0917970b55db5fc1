#!/usr/bin/env bash
# One replica tells a very long time in Keep-Alive. TROUBLE=0: it tells none.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
exec python3 case.py
