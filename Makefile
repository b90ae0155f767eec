.PHONY: build test lint run demo

VENV := .venv-dev
BIN := $(VENV)/bin

build: $(VENV)/built

$(VENV)/built: requirements-dev.txt
	python3 -m venv $(VENV)
	$(BIN)/pip -q install -r requirements-dev.txt
	touch $@

test: build
	$(BIN)/python -m pytest

demo: build
	$(BIN)/python -m sageturn.lab.demo

lint: build
	$(BIN)/ruff check sageturn tests
	$(BIN)/mypy

# GW_CONFIG names the relay's configuration; OPERATOR=deploy/xmpp.json turns the rest on
run: build
	$(BIN)/python -m sageturn $(if $(OPERATOR),--operator $(OPERATOR))
