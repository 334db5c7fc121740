# `make demo`, `make test` and `make format` set up all they need, in .venv-dev.
VENV = .venv-dev
PYTHON = python3

.PHONY: demo test format setup clean sites

demo: setup
	$(VENV)/bin/ryepier demo

test: setup
	PATH="$(CURDIR)/$(VENV)/bin:$$PATH" sh tests/check.sh

format: setup
	$(VENV)/bin/ruff check --quiet --fix --exit-zero .
	$(VENV)/bin/ruff format .

setup: $(VENV)/.done

$(VENV)/.done: pyproject.toml
	$(PYTHON) -m venv --clear $(VENV)
	$(VENV)/bin/python -m pip install --quiet --no-input --disable-pip-version-check -e '.[dev]'
	touch $@

clean:
	rm -rf $(VENV)

KIT = ../given/kit

# The bench wants these beside a site that it plays; they are the kit's, so git does not have them.
sites:
	@test -f $(KIT)/sites/real.json || { echo "make sites: no kit at $(KIT); KIT=path names another" >&2; exit 2; }
	for site in deploy/sites/*/; do cp $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/sites/unlock.txt $$site; done
