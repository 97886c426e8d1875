#!/bin/sh
# Writes record.txt in this folder. Exit 0: the rule held; 1: it was broken; 2: the case could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/standins
.venv/bin/python -c 'import stand_ins, usual_clients' || exit 2
exec .venv/bin/python review/1/case.py
