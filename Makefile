.PHONY: build test lint run demo panels

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
	$(BIN)/ruff format --check sageturn tests
	$(BIN)/mypy

KIT := ../given/kit
SITE := $(KIT)/sites/guide-live.toml
SECOND := $(KIT)/users/midlands-stock.toml
OTHER := $(KIT)/more/mass/other/labe-sloty.toml
# our own variants of deployments, unlike the first: the program may be fitted to none
VARIANTS := deploy/sites/quay-notices/quay-notices.toml deploy/sites/ward-calls/ward-calls.toml
SEED ?= $(shell date +%s)
WHY ?= The regression panels in turn

# every panel by its name, one after the other; each leaves its journal
panels:
	@if [ ! -x $(KIT)/bin/lbsim ]; then echo "panels: the operators' kit is not at $(KIT); nothing was played"; exit 1; fi
	$(KIT)/more/mass/bin/lbreal score $(SITE) --quick --why "$(WHY): full fleet"
	$(KIT)/more/mass/bin/lbreal score $(SITE) --panel brink --seed $(SEED) --why "$(WHY): short days"
	for site in $(OTHER) $(VARIANTS); do \
		$(KIT)/more/mass/bin/lbreal score $$site --quick --why "$(WHY): other deployments" || exit 1; \
		$(KIT)/more/mass/bin/lbreal score $$site --panel brink --seed $(SEED) --why "$(WHY): other deployments" || exit 1; \
	done
	$(KIT)/more/bin/lbreal score $(SITE) --quick --why "$(WHY): 40 relays"
	$(KIT)/more/mass/bin/lbreal score $(SITE) --panel later --quick --why "$(WHY): earlier days"
	$(KIT)/bin/lbsim score $(SITE) --why "$(WHY): the module"
	$(KIT)/real/bin/lbreal score $(SECOND) --quick --why "$(WHY): the second deployment"
	$(KIT)/bin/lbsim score $(SECOND) --why "$(WHY): the second deployment's module"

# GW_CONFIG names the relay's configuration; OPERATOR=deploy/xmpp.json turns the rest on
run: build
	$(BIN)/python -m sageturn $(if $(OPERATOR),--operator $(OPERATOR))
