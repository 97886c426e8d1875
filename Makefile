# `make run` and `make test` set up what they need; `python3` of 3.11 or newer is all that must be there.
VENV := .venv
PY := $(VENV)/bin/python

.PHONY: run test lint format setup protos bench sites

$(VENV)/.ready: requirements.txt requirements-rollout.txt requirements-dev.txt pyproject.toml
	test -d $(VENV) || python3 -m venv $(VENV)
	$(PY) -m pip -q install -r requirements.txt -r requirements-rollout.txt -r requirements-dev.txt
	$(PY) -m pip -q install --no-deps --no-build-isolation -e . 2>/dev/null || $(PY) -m pip -q install --no-deps -e .
	touch $@

setup: $(VENV)/.ready

lint: setup
	$(VENV)/bin/ruff format --check
	$(VENV)/bin/ruff check
	$(VENV)/bin/lint-imports
	$(VENV)/bin/mypy

format: setup
	$(VENV)/bin/ruff format
	$(VENV)/bin/ruff check --fix

# All tests, or one part's: `make test PART=recovery` runs those that name the part in file or test name.
# Tests that start programs are in few groups (tests/support/program_groups.py), run one after another.
PART :=
WORKERS := 6
test: lint
	PYTHONHASHSEED=1 $(PY) -m pytest -q -n $(WORKERS) $(if $(PART),-k "$(PART)")

protos: setup
	.ci/protos

run: setup
	$(VENV)/bin/hub-scenario bad-day

bench: setup
	$(PY) benchmarks/relay.py

# The operators' bench reads these beside a site's file; they are theirs and stay out of the repository.
GIVEN := ../given/kit/more/mass/other
sites:
	@test -d $(GIVEN) || { echo "sites: $(GIVEN) is missing; lay the operators' kit there" >&2; exit 1; }
	cp $(GIVEN)/real.json $(GIVEN)/wire.json $(GIVEN)/unlock.txt deploy/sites/
