#!/bin/sh
# Prepares the cases 6 to 10, after the build of the deploy file. Their stand-ins are
# Python modules that need no build; this checks that they can be loaded.
cd "$(dirname "$0")" || exit 1
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH=../target/deps:common2 exec python3 -c 'import deployment'
