VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := $(sort $(wildcard packages/*) platform)
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(addprefix $(CURDIR)/,$(PACKAGES)))
export PYTHONDONTWRITEBYTECODE ?= 1

.PHONY: demo docs experiment install lint measure measure-quick setup soak test
.PHONY: test-quick format

setup: $(STAMP)

$(STAMP): requirements/run.txt requirements/dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements/dev.txt
	touch $@

$(VENV)/.measure: $(STAMP) requirements/measure.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements/measure.txt
	touch $@

test: setup
	$(BIN)/python tools/run_tests.py $(TESTS)

test-quick: setup
	$(BIN)/python tools/run_tests.py --quick

soak: export PYTHONPATH := $(PYTHONPATH):$(CURDIR)
soak: setup
	$(BIN)/python -m soak $(or $(SOAK),--seeds 1 2 --seconds 8)

lint: setup
	$(BIN)/ruff format --check --diff .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

docs: setup
	$(BIN)/python tools/write_events.py

demo: setup
	$(BIN)/python -m hibiscusspar_standins.demo $(DEMO)

experiment: setup
	$(BIN)/python tools/zone_cut.py

measure: $(VENV)/.measure
	$(BIN)/python -m measure $(PARTS)

measure-quick: $(VENV)/.measure
	$(BIN)/python -m measure --quick $(PARTS)

install: setup
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation $(PACKAGES)
