#!/usr/bin/env bash
# Builds what the cases 6 to 10 need beside the build of the deploy file: their
# programs are Python, so they are only checked and compiled, in a folder of
# their own.
set -euo pipefail
cd "$(dirname "$0")/.."
out="$(mktemp -d)"
trap 'rm -rf "$out"' EXIT
for file in review/harness2/*.py review/{6,7,8,9,10}/case.py; do
  [ -e "$file" ] || continue
  python3 - "$file" "$out" <<'PY'
import pathlib
import py_compile
import sys

name = sys.argv[1].replace("/", "_")
py_compile.compile(
    sys.argv[1], cfile=str(pathlib.Path(sys.argv[2]) / name), doraise=True
)
PY
done
# The stand-ins import what the deploy file's build has placed there.
PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1 python3 -c \
  'import aiohttp, review.harness2.lost, review.harness2.runner, review.harness2.system'
echo "the stand-ins of cases 6 to 10 are built"
