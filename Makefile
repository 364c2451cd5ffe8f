# The commands of mallowpass. A fresh machine needs Python 3.11 (or newer), pip
# and make; `make build` also needs gcc and binutils.

SHELL := /bin/bash
.SHELLFLAGS := -eu -o pipefail -c
.DEFAULT_GOAL := help

VENV := .venv
BUILD_VENV := .venv-build
LOCK_VENV := build/lock-venv
READY := $(VENV)/.ready
BUILD_READY := $(BUILD_VENV)/.ready

BASE_PYTHON = $(shell command -v python3.11 || command -v python3)
PIP_INSTALL = pip install --quiet --disable-pip-version-check

PYTEST_FLAGS ?=
# Tests that run at once. Half of eight cores: many tests start processes of their own.
TEST_JOBS ?= 4
FUZZ_SEED ?= 1
SCHEMAS = $(wildcard mallowpass/schema/*.proto)

.PHONY: help demo test test-all lint fuzz build schema lock clean

help:
	@echo "make demo    set up, then run the main job on embedded stand-ins"
	@echo "make test    set up, then linter, formatter check and all tests, $(TEST_JOBS) at once"
	@echo "make test-all   the same, where no test of KNOWN-RED.txt may fail"
	@echo "make fuzz    the long state-machine runs (FUZZ_SEED=$(FUZZ_SEED))"
	@echo "make build   dist/mallowpass, the one binary that ships"
	@echo "make schema  regenerate the protobuf code from mallowpass/schema/*.proto"
	@echo "make lock    resolve requirements*.in into requirements*.lock again"
	@echo "make clean   remove the virtual environments and all that was built"

demo: $(READY)
	@$(VENV)/bin/python -m mallowpass demo

lint: $(READY)
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .

# Tests listed in KNOWN-RED.txt, and only these, may fail; they are printed.
test: lint
	PYTHONPATH=packaging $(VENV)/bin/python -m pytest -p known_red \
	  -n $(TEST_JOBS) --dist worksteal $(PYTEST_FLAGS)

test-all: lint
	$(VENV)/bin/python -m pytest -n $(TEST_JOBS) --dist worksteal $(PYTEST_FLAGS)

fuzz: $(READY)
	@if [ ! -d tests/fuzz ]; then \
	  echo "make fuzz: tests/fuzz does not exist yet, nothing was run" >&2; exit 1; \
	fi
	MALLOWPASS_HYPOTHESIS_PROFILE=fuzz $(VENV)/bin/python -m pytest tests/fuzz \
	  -o norecursedirs= --hypothesis-seed=$(FUZZ_SEED) $(PYTEST_FLAGS)

schema: $(READY)
	@if [ -z "$(SCHEMAS)" ]; then \
	  echo "make schema: no mallowpass/schema/*.proto to generate from" >&2; exit 1; \
	fi
	$(VENV)/bin/python packaging/generate_schema.py $(SCHEMAS)

# A stamp of the virtual environment is newer than all that it was made from. It is
# written last, so a set-up that was interrupted starts afresh.
define make_venv
	@if [ -z "$(BASE_PYTHON)" ] || ! $(BASE_PYTHON) -c \
	  'import sys; sys.exit(sys.version_info < (3, 11))'; then \
	  echo "make: needs python3.11, or a python3 that is 3.11 or newer" >&2; exit 1; \
	fi
	rm -rf $(1)
	$(BASE_PYTHON) -m venv $(1)
endef

$(READY): requirements-dev.lock pyproject.toml requirements.in
	$(call make_venv,$(VENV))
	$(VENV)/bin/$(PIP_INSTALL) --require-hashes -r requirements-dev.lock
	$(VENV)/bin/$(PIP_INSTALL) --no-deps --no-build-isolation -e .
	@touch $@

build: $(BUILD_READY)
	@for tool in gcc objdump strip; do \
	  if ! command -v $$tool > /dev/null; then \
	    echo "make build: $$tool is missing; it needs gcc with the C library's" \
	      "headers and archive, and binutils (Debian: gcc libc6-dev binutils)" >&2; \
	    exit 1; \
	  fi; \
	done
	$(BUILD_VENV)/bin/python packaging/build_binary.py
	$(BUILD_VENV)/bin/python packaging/check_binary.py dist/mallowpass

$(BUILD_READY): requirements-build.lock pyproject.toml requirements.in
	$(call make_venv,$(BUILD_VENV))
	$(BUILD_VENV)/bin/$(PIP_INSTALL) --require-hashes -r requirements-build.lock
	$(BUILD_VENV)/bin/$(PIP_INSTALL) --no-deps --no-build-isolation -e .
	@touch $@

lock:
	$(call make_venv,$(LOCK_VENV))
	$(LOCK_VENV)/bin/$(PIP_INSTALL) pip-tools
	for name in requirements requirements-dev requirements-build requirements-platform; do \
	  $(LOCK_VENV)/bin/pip-compile --quiet --generate-hashes --allow-unsafe \
	    --no-emit-index-url --no-emit-find-links --strip-extras --no-header \
	    --output-file=$$name.lock $$name.in; \
	done
	@if grep -nE 'https?:|file:/|index-url|find-links| @ |(^|[ =])/' \
	  requirements*.lock; then \
	  echo "make lock: a lock file names an index or a path (see above)" >&2; exit 1; \
	fi

clean:
	rm -rf $(VENV) $(BUILD_VENV) build dist *.egg-info .pytest_cache .ruff_cache \
	  .hypothesis
