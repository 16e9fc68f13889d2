PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := $(addprefix packages/,core wire node client cli standins) \
	platform platform/emulator
EDITABLE := $(foreach p,$(PACKAGES),-e $(p))
SOURCES := packages platform features .ci
DEPLOYMENT ?= karamanlis
SEEDS ?= 10

.PHONY: setup format lint test soak demo explore measure clean

setup: $(VENV)/.stamp

$(VENV)/.stamp: constraints.txt requirements-dev.txt \
		$(addsuffix /pyproject.toml,$(PACKAGES))
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt -r requirements-dev.txt
	$(BIN)/pip install -q -c constraints.txt --no-build-isolation $(EDITABLE)
	touch $@

format: setup
	$(BIN)/ruff format $(SOURCES)

lint: setup
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)

test: lint
	mkdir -p build/test && rm -f build/test/results.json
	-$(BIN)/behave --no-capture --format progress --outfile /dev/stdout \
		--format json --outfile build/test/results.json features
	$(BIN)/python .ci/verdict.py build/test/results.json

soak: setup
	$(BIN)/python -m trefoilpulley_emulator.soak --seeds $(SEEDS)

demo: setup
	$(BIN)/python -m trefoilpulley_standins.demo --deployment $(DEPLOYMENT)

explore: setup
	$(BIN)/python -m trefoilpulley_standins.explore
	$(BIN)/python -m trefoilpulley_standins.explore_schedules --count 500

measure: setup
	$(BIN)/python -m trefoilpulley_standins.measure

clean:
	rm -rf build $(VENV)
