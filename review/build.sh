#!/usr/bin/env bash
# Builds the stand-ins of the scripts, after the build line of the deploy file. They are
# Python modules that use only libraries which that line installs.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONPATH=../target/deps python3 -c "import aiohttp"
python3 -m compileall -q common [1-5]
