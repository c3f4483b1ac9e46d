#!/bin/sh
# Prepares the cases: the stand-ins are Python programs of the standard library alone, so this only checks that they
# compile and that the build of the deploy file has been made. Exits with 2 if something is missing.
set -eu
cd "$(dirname "$0")/.."
[ -x target/sassafrasd ] || { echo "target/sassafrasd is missing: run the build command of deploy/system.toml"; exit 2; }
python3 -B -c '
import pathlib, sys
assert sys.version_info >= (3, 11), "the stand-ins need Python 3.11"
files = sorted(pathlib.Path("review").rglob("*.py")) + sorted(pathlib.Path("tests/platform").glob("*.py"))
for path in files:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
print(f"{len(files)} Python files of the stand-ins compile")
' || exit 2
