# Targets for developers. PYTHON is the interpreter that makes the environment.
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: demo test bench check soak soak-regressions platform-day

# Variables of the soak. Without SEED it uses a new seed; LOGS is a directory to
# which the output of all processes is copied.
SECONDS ?= 40
NODES ?= 8
RUNS ?= 1

# Kit of the users: their benchmark and the files of their deployments.
KIT ?= ../given/kit/more/system
SITE ?= arsse-quay
DAY ?= quiet-1

$(VENV)/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m bench.demo

test: $(VENV)/.installed
	$(BIN)/python -m pytest

bench: $(VENV)/.installed
	$(BIN)/python -m bench.main

soak: $(VENV)/.installed
	$(BIN)/python -m bench.soak.main $(if $(SEED),--seed $(SEED)) --runs $(RUNS) \
	  --seconds $(SECONDS) --nodes $(NODES) $(if $(LOGS),--logs $(LOGS))

soak-regressions: $(VENV)/.installed
	$(BIN)/python -m bench.soak.main --regressions

check: $(VENV)/.installed
	$(BIN)/ruff format --check medlarquay bench conftest.py
	$(BIN)/ruff check --select I medlarquay bench conftest.py
	$(BIN)/flake8 medlarquay bench conftest.py
	$(BIN)/mypy

platform-day:
	@if [ -x $(KIT)/bin/fleetbench ]; then \
	  $(KIT)/bin/fleetbench run $(KIT)/sites/$(SITE).toml $(DAY); \
	else \
	  echo "platform-day: no kit at $(KIT); nothing was played"; \
	fi
