# Targets for developers. PYTHON selects the interpreter for the environment.
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: demo test bench check

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

check: $(VENV)/.installed
	$(BIN)/ruff format --check medlarquay bench
	$(BIN)/ruff check --select I medlarquay bench
	$(BIN)/flake8 medlarquay bench
	$(BIN)/mypy
