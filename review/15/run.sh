#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/bin/applerampd ] || { echo "target/bin/applerampd is missing: build by deploy/system.toml"; exit 2; }
export PYTHONDONTWRITEBYTECODE=1
timeout --signal=TERM 118 python3 case.py
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
