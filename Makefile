PYTHON ?= python3
BIN := .venv/bin
READY := .venv/ready

.PHONY: setup test lint format demo bench faults capacity plots
setup: $(READY)

$(READY): requirements.lock $(wildcard packages/*/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(foreach p,core adapters daemon client standins,-e packages/$(p))
	touch $(READY)

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy packages

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: setup
	$(BIN)/python -m bramleyglade_standins.demo

faults: setup
	$(BIN)/python benchmarks/faults.py

bench: setup
	$(BIN)/python benchmarks/bench.py

capacity: setup
	$(BIN)/python benchmarks/capacity.py

plots: setup
	$(BIN)/python benchmarks/plots.py
