PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SOURCES := packages tests models bench demo

.PHONY: setup demo test soak lint format bench clean

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt packages/core/pyproject.toml packages/node/pyproject.toml packages/cli/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check setuptools -r requirements.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-build-isolation \
		-e packages/core -e packages/node -e packages/cli
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

lint: setup
	$(BIN)/black --check --quiet $(SOURCES)
	$(BIN)/ruff check --quiet $(SOURCES)

format: setup
	$(BIN)/black --quiet $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

bench: setup
	$(BIN)/python bench/bench.py

clean:
	rm -rf $(VENV) build run
