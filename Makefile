PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= aldeias
FAULTS ?= 0
SEED ?= 7
DURATION ?= 60

.PHONY: demo test lint format fuzz soak soak-processes matrix lost-links bench-platform slopes experiment bench capacity rounds wire

$(VENV)/.ready: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt -e '.[dev]'
	touch $@

demo: $(VENV)/.ready
	$(BIN)/python -m agatewing.demo --deployment $(DEPLOYMENT) \
	    --faults $(FAULTS)

test: $(VENV)/.ready
	CI=true $(BIN)/python -m pytest -n 5

lint: $(VENV)/.ready
	$(BIN)/ruff format --check agatewing tests conftest.py
	$(BIN)/flake8 agatewing tests conftest.py
	$(BIN)/mypy agatewing

format: $(VENV)/.ready
	$(BIN)/ruff format agatewing tests conftest.py

fuzz: $(VENV)/.ready
	FUZZ_SEED=$(SEED) $(BIN)/python -m pytest -k fuzz

soak: $(VENV)/.ready
	$(BIN)/python -m agatewing.soak --seed $(SEED) --duration $(DURATION)

soak-processes: $(VENV)/.ready
	$(BIN)/python -m agatewing.platform.soak --seed $(SEED) \
	    --duration $(DURATION)

matrix: $(VENV)/.ready
	MATRIX_SEED=$(SEED) $(BIN)/python -m pytest -q -s -p no:xdist \
	    agatewing/platform/tests/test_lost_requests.py

lost-links: $(VENV)/.ready
	LOST_LINKS=all $(BIN)/python -m pytest -n 2 \
	    agatewing/platform/tests/test_lost_links.py

slopes: $(VENV)/.ready
	$(BIN)/python -m agatewing.bench slopes

experiment: $(VENV)/.ready
	$(BIN)/python -m agatewing.experiment --store experiment

bench-platform: $(VENV)/.ready
	$(BIN)/python -m agatewing.platform.bench

bench: $(VENV)/.ready
	$(BIN)/python -m agatewing.bench entry

wire:
	thrift --gen py:slots -out agatewing/wire/gen thrift/peer.thrift

rounds: $(VENV)/.ready
	$(BIN)/python -m agatewing.bench rounds

capacity: $(VENV)/.ready
	$(BIN)/python -m agatewing.bench capacity
