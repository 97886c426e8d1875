#!/bin/sh
# Builds what the scripts of the second review start. They are Python on the standard library alone, so the
# environment of the deploy file's build is all that they need; this compiles them, and checks that it is there.
cd "$(dirname "$0")/.." || exit 1
[ -x .venv/bin/python ] || { echo "build-2: run the build line of deploy/balancer.toml first" >&2; exit 1; }
exec .venv/bin/python -m compileall -q review/standins2 review/6 review/7 review/8 review/9
