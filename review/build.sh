#!/usr/bin/env bash
# Prepares the stand-ins of the cases: they are Python of the standard library, so that they only have to compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
python3 - common/*.py [1-5]/*.py <<'END'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
END
