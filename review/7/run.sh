#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="target/deps:.:src:review" PYTHONDONTWRITEBYTECODE=1
python3 review/7/case.py &
trap 'kill $!' TERM INT
wait $!
status=$?
wait
# The script says 10 for a broken rule; an error of the script itself is 1.
case $status in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
