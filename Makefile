# Every target sets up what it needs on a fresh machine: Python 3.11 with venv
# is all that must be there.
PYTHON ?= python3.11
VENV := .venv
PY := $(VENV)/bin/python
LOCK := $(shell cat requirements.txt requirements-dev.txt | sha256sum | cut -c1-16)
STAMP := $(VENV)/.installed-$(LOCK)
# The compiler's version decides what the generated code looks like.
THRIFT_PACKAGE := thrift-compiler=0.17.0-2+b2

.PHONY: test lint format bench demo binary generate docs setup compiler

test: $(STAMP) compiler
	@$(PY) -m tools.run_tests

lint: $(STAMP)
	@$(PY) -m ruff format --check .
	@$(PY) -m flake8 .

format: $(STAMP)
	@$(PY) -m ruff format .

bench: $(STAMP)
	@$(PY) -m bench $(NAME) $(OPTIONS)

# Real processes of a site, broken at random: make soak SEED=1 MINUTES=5.
SEED ?= 1
MINUTES ?= 1
.PHONY: soak
soak: $(STAMP)
	@$(PY) -m bench.soak --seed $(SEED) --minutes $(MINUTES)

demo: $(STAMP)
	@$(PY) -m bench demo

# One executable file, dist/tamarackthread; it needs Python 3.11 on its host.
binary: $(STAMP)
	@$(PY) -m binary.build

generate: $(STAMP) compiler
	@tools/generate_messages.sh
	@if [ -f tools/generate_settings.py ]; then $(PY) -m tools.generate_settings; fi

docs: $(STAMP)
	@$(PY) -m tools.generate_errors
	@$(PY) -m tools.generate_reference

setup: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt
	@test -x $(PY) || $(PYTHON) -m venv $(VENV)
	@$(PY) -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	@rm -f $(VENV)/.installed-*
	@touch $@

# Only root on Debian gets the compiler; elsewhere the check of the generated
# messages says that it was skipped.
compiler:
	@command -v thrift >/dev/null || { \
		[ "$$(id -u)" = 0 ] && command -v apt-get >/dev/null && \
		{ apt-get update -qq && apt-get install -qq -y $(THRIFT_PACKAGE); } \
		>/dev/null 2>&1; } || echo 'thrift compiler not installed'

# The users' days on the code at hand: make regression BENCH=PATH SITES=FOLDER MINUTES=60.
MINUTES_OF_REGRESSION = $(if $(filter command line,$(origin MINUTES)),$(MINUTES),60)
.PHONY: regression
regression: $(STAMP)
	@$(PY) -m tools.regression --bench $(BENCH) --sites $(SITES) --minutes $(MINUTES_OF_REGRESSION) $(OPTIONS)

# Tables and pictures of docs/CAPACITY.md, from the figures in docs/capacity.
.PHONY: capacity
capacity: $(STAMP)
	@$(PY) -m bench.slopes.page --write
