# Targets that need the virtual environment create it on first use.
VENV ?= .venv
PYTHON ?= python3.11
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
DEPLOYMENT ?= karaganda
WORKERS ?= 8

export PYTHONPATH := src

.PHONY: demo test lint format bench matrix compare codegen clean

$(STAMP): pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m magnoliaslip.lab demo --deployment $(DEPLOYMENT)

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# Tests with real processes run last and one at a time: on an overloaded machine
# processes pause, and the results would depend on the load of the machine.
test: lint
	$(BIN)/python -m pytest -n $(WORKERS) --ignore=tests/processes
	$(BIN)/python -m pytest tests/processes

bench: $(STAMP)
	$(BIN)/python -m magnoliaslip.bench

matrix: $(STAMP)
	$(BIN)/python -m magnoliaslip.proof matrix

compare: $(STAMP)
	$(BIN)/python -m magnoliaslip.proof compare

codegen: $(STAMP)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[codegen]'
	PATH="$(BIN):$$PATH" $(BIN)/python -m grpc_tools.protoc -I src --python_out=src --pyi_out=src \
	    --grpclib_python_out=src src/magnoliaslip/peering/proto/peer.proto

clean:
	rm -rf $(VENV) build src/*.egg-info
