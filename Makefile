PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SOURCES := packages platform deploy tests models bench demo

.PHONY: setup demo test soak faults stops lint format bench bench-scenarios clean

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt packages/core/pyproject.toml packages/node/pyproject.toml packages/cli/pyproject.toml packages/relay/pyproject.toml platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check setuptools -r requirements.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-build-isolation \
		-e packages/core -e packages/node -e packages/cli -e packages/relay -e platform
	touch $@

demo: setup
	$(BIN)/python demo/demo.py

test: setup
	$(BIN)/python tests/run.py

# Random runs for a time, e.g. make soak SECONDS=1200 SEED=7
SECONDS ?= 60
SEED ?= 1
soak: setup
	PYTHONPATH=tests $(BIN)/python -m soak.runs $(SECONDS) $(SEED)

# Random faults on real processes for a time, e.g. make faults SECONDS=300 SEED=1000 HOSTS=5
HOSTS ?= 5
faults: setup
	PYTHONPATH=tests $(BIN)/python -m soak.faults $(SECONDS) $(SEED) $(HOSTS)

# Stops, losses of power and changes on real processes, e.g. make stops SEEDS=50 SEED=1 STOP_HOSTS=8
STOP_HOSTS ?= 8
stops: setup
	PYTHONPATH=tests $(BIN)/python -m soak.stops $(or $(SEEDS),50) $(SEED) $(STOP_HOSTS)

lint: setup
	$(BIN)/black --check --quiet $(SOURCES)
	$(BIN)/ruff check --quiet $(SOURCES)
	$(BIN)/python tests/retired_words.py

format: setup
	$(BIN)/black --quiet $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

bench: setup
	$(BIN)/python bench/bench.py

bench-scenarios: setup
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r bench/requirements.txt
	mkdir -p build
	$(BIN)/python bench/scenarios.py --scenario $(or $(SCENARIO),all) --seeds $(or $(SEEDS),5) \
		--out build/scenarios.json
	$(BIN)/python bench/plot_scenarios.py build/scenarios.json build/scenarios.svg

clean:
	rm -rf $(VENV) build run
