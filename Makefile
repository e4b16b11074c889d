PYTHON ?= python3
BIN := .venv/bin
READY := .venv/ready

.PHONY: setup test lint format demo bench faults capacity plots mutations regression fuzz soak
setup: $(READY)

$(READY): requirements.lock $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(foreach p,core adapters daemon client standins,-e packages/$(p)) -e platform
	touch $(READY)

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy packages platform/src

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: setup
	$(BIN)/python -m bramleyglade_standins.demo

faults: setup
	$(BIN)/python -m benchmarks.faults

bench: setup
	$(BIN)/python -m benchmarks.bench

capacity: setup
	$(BIN)/python -m benchmarks.capacity

plots: setup
	$(BIN)/python -m benchmarks.plots

# Plays generated conversations; exits with 1 at the first that breaks a promise.
fuzz: setup
	$(BIN)/python -m benchmarks.exchange_fuzzer --minutes $(or $(MINUTES),1) $(if $(SEED),--seed $(SEED))

# Plays daemons that stop and restart under load; exits with 1 if a rule is broken.
soak: setup
	$(BIN)/python -m benchmarks.stop_soak --seed $(or $(SEED),1) --mode $(or $(MODE),calm)

mutations: setup
	$(BIN)/python -m benchmarks.mutations

# Scores SITES with the users' bench, BENCH, beside the results in BEFORE, if given.
regression: setup
	$(BIN)/python -m benchmarks.regression $(SITES) --bench "$(BENCH)" $(if $(BEFORE),--before "$(BEFORE)") $(if $(SAVE),--save "$(SAVE)")
