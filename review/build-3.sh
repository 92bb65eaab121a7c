#!/bin/sh
# Builds the stand-ins that the scripts of the cases 11 to 15 start. They are
# Python and need the libraries of the deploy file's build, in target/deps:
# this checks that each of them can be loaded.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:.:review python3 -c '
import endless_server
import harness3
from standins import platform_fixtures
from standins import platform_store
'
