# Every target creates the virtual environment from the lock file if needed.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo demo-daemon soak test check format bench bench-full dist clean

$(STAMP): requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	touch $(STAMP)

# The path on stand-ins that speak the users' protocol.
demo: $(STAMP)
	$(BIN)/python -m amaranthbay.platform.tests.demo

# The path on stand-ins of the product's own interface.
demo-daemon: $(STAMP)
	$(BIN)/python -m amaranthbay.standins.demo $(DEMO_ARGS)

soak: $(STAMP)
	$(BIN)/python -m amaranthbay.platform.tests.soak --seed $(or $(SEED),1) --seeds $(or $(SEEDS),1)

test: $(STAMP)
	$(BIN)/python tools/run_tests.py

check: $(STAMP)
	$(BIN)/black --check --quiet amaranthbay tools
	$(BIN)/isort --check-only --quiet amaranthbay tools
	$(BIN)/flake8 amaranthbay tools

format: $(STAMP)
	$(BIN)/isort --quiet amaranthbay tools
	$(BIN)/black --quiet amaranthbay tools

bench: $(STAMP)
	$(BIN)/python -m amaranthbay bench --set short

bench-full: $(STAMP)
	$(BIN)/python -m amaranthbay bench --set full

dist: $(STAMP)
	$(BIN)/python tools/build_dist.py

clean:
	rm -rf build dist bench-out
