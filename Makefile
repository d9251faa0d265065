# Entry point for all development tasks. CI runs `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
LIBS := ports http process routing policy coordination objects peers daemon entry cli standins
PARTS := platform $(addprefix libs/,$(LIBS))
STAMP := $(VENV)/.installed

.PHONY: setup format lint test bench demo fuzz soak capacity clean

$(STAMP): requirements.txt $(foreach lib,$(PARTS),$(lib)/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.txt
	$(BIN)/python -m pip install --quiet --no-build-isolation --no-deps \
		$(foreach lib,$(PARTS),--editable $(lib))
	touch $(STAMP)

setup: $(STAMP)

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

test: lint
	$(BIN)/python tools/run_tests.py

bench: setup
	$(BIN)/python bench/run_bench.py

demo: setup
	$(BIN)/python tools/demo.py

fuzz: setup
	$(BIN)/python tools/fuzz.py

soak: setup
	$(BIN)/python soak/run_soak.py --seeds 1:50 --jobs 4

capacity: setup
	$(BIN)/python tools/capacity.py $(REPORT)

clean:
	rm -rf $(VENV) build
