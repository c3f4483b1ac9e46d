#!/usr/bin/env bash
# Builds what the scripts of the third review start besides the program of deploy/system.toml: their stand-ins are
# Python files, which are only checked here. They need no package beyond python3.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
python3 - lib-3/*.py 1[1-5]/case.py <<'END'
import ast
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
END
