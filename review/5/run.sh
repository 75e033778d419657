#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/release/wisteriapassd ] && command -v python3 > /dev/null || exit 2
export PYTHONDONTWRITEBYTECODE=1
python3 "$here/case.py"
code=$?
case $code in 0|1) exit $code ;; *) exit 2 ;; esac
