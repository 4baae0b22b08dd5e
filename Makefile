SEED ?= 1
SEEDS ?= 1-5
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := types telemetry http durations decisions config platform links state jobs daemon cli standins
SOURCES := conftest.py packages platform bench demo proofs testbed tests

.PHONY: setup test check demo proofs bench soak fault-soak format

setup: $(VENV)/installed

$(VENV)/installed: constraints.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -c constraints.txt -r requirements-dev.txt
	$(BIN)/pip install -q --disable-pip-version-check --no-build-isolation -c constraints.txt $(foreach p,$(PACKAGES),-e packages/currantreach-$(p)) -e platform
	touch $@

format: setup
	$(BIN)/ruff check -q --fix $(wildcard $(SOURCES))
	$(BIN)/ruff format -q $(wildcard $(SOURCES))

check: setup
	$(BIN)/ruff format --check $(wildcard $(SOURCES))
	$(BIN)/ruff check $(wildcard $(SOURCES))
	$(BIN)/flake8 $(wildcard $(SOURCES))
	$(BIN)/mypy $(wildcard packages/*/src)
	$(BIN)/mypy -p currantreach_adapter
	$(BIN)/lint-imports

test: setup
	$(BIN)/python -m pytest

demo: setup
	$(BIN)/python -m demo

proofs: setup
	$(BIN)/python -m proofs

bench: setup
	$(BIN)/python -m bench

soak: setup
	$(BIN)/python -m pytest --soak --hypothesis-seed=$(SEED) --timeout=1800 packages

fault-soak: setup
	$(BIN)/python -m tests.soak --seeds $(SEEDS)
