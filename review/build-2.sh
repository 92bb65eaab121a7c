#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the cases 6 to 10, the project's own
# stand-ins too, and checks that all of them can be imported with the libraries
# that the build of the deploy file installs.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps
python3 -m compileall -q standins review/bench2.py review/6 review/7
PYTHONPATH=target/deps:.:src:review PYTHONDONTWRITEBYTECODE=1 python3 -c "
import bench2
from standins import platform_store
"
