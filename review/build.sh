#!/bin/sh
# Builds the stand-ins that the scripts start: they are Python programs that use
# what the build of the deploy file has put under target/deps.
cd "$(dirname "$0")/.." || exit 1
exec env PYTHONPATH="target/deps:." python3 -m review.standins.check
