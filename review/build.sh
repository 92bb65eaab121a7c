#!/usr/bin/env bash
# Compiles the stand-ins and the scripts of the cases, and checks that all of
# them can be imported with the libraries that the deploy file's build installs.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps
python3 -m compileall -q standins review
PYTHONPATH=target/deps:.:review python3 -c "
import harness
from standins import platform_engine, platform_store
"
