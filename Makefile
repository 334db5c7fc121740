# `make demo` and `make test` set up all they need, in .venv-dev, and do those two things.
VENV = .venv-dev
PYTHON = python3

.PHONY: demo test setup clean

demo: setup
	$(VENV)/bin/ryepier demo

test: setup
	PATH="$(CURDIR)/$(VENV)/bin:$$PATH" sh tests/check.sh

setup: $(VENV)/.done

$(VENV)/.done: pyproject.toml
	$(PYTHON) -m venv --clear $(VENV)
	$(VENV)/bin/python -m pip install --quiet --no-input --disable-pip-version-check -e '.[dev]'
	touch $@

clean:
	rm -rf $(VENV)
