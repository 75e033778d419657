#!/bin/bash
# Checks the stand-ins of cases 4 to 6. They are Python 3 with its standard library alone, so nothing has to be built.
cd "$(dirname "$0")" || exit 1
for file in lib2/*.py [456]/*.py; do
    python3 - "$file" <<'PY' || exit 1
import sys
compile(open(sys.argv[1]).read(), sys.argv[1], "exec")
PY
done
