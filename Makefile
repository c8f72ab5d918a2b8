# Every target sets up what it needs; `make install` is the set-up alone.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
# Test processes at once; each may start a few dozen of ours.
WORKERS ?= 4
STAMP := $(VENV)/.installed

.PHONY: install demo platform-build deploy-lock test format lint bench slopes report binary clean

install: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --require-hashes -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: install
	$(BIN)/python -m extras.demo
	$(BIN)/python -m extras.demo_platform

format: install
	$(BIN)/pyink --quiet bilberryroute tests benchmarks extras
	$(BIN)/ruff check --quiet --fix bilberryroute tests benchmarks extras

lint: install
	$(BIN)/pyink --quiet --check bilberryroute tests benchmarks extras
	$(BIN)/ruff check bilberryroute tests benchmarks extras
	$(BIN)/lint-imports

test: install lint
	$(BIN)/python -m pytest -n $(WORKERS) -m "not serial"
	$(BIN)/python -m pytest -m serial

deploy-lock: install
	$(BIN)/python -m extras.deploy_lock

# What the users' platform runs before the first start of a process.
platform-build:
	$(PYTHON) extras/platform_build.py

binary: install
	$(BIN)/python extras/build_binary.py

# Every bench once with small sizes; the defaults are the full ones.
bench: install
	$(BIN)/python -m benchmarks.imports
	$(BIN)/python -m benchmarks.idle --seconds 5
	$(BIN)/python -m benchmarks.leases --seconds 2
	$(BIN)/python -m benchmarks.consensus --seed 1
	$(BIN)/python -m benchmarks.requests --requests 300
	$(BIN)/python -m benchmarks.decisions --deployment trust --seed 1 \
		--only bilberryroute,fifo_first_fit,backfill_best_fit

slopes: install
	$(BIN)/python -m benchmarks.slopes --out report/slopes.json

report: install
	$(BIN)/python -m benchmarks.report

clean:
	rm -rf $(VENV) build dist *.egg-info
