PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SOURCES := packages tests bench demo

.PHONY: setup demo test lint format bench clean

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
