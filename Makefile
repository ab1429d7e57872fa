# `make run` sets up and plays the bad day; `make test` is what .ci/run calls.
PY = .venv/bin/python

.venv/ready: pyproject.toml requirements-dev.txt
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip install -q -r requirements-dev.txt -e .
	touch .venv/ready

.PHONY: run test explore
run: .venv/ready
	.venv/bin/ospreybridge day examples/bad-day.kdl --json bad-day.json

test: .venv/ready
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	.venv/bin/mypy
	$(PY) -m pytest

# Orders of events at the platform's call server, for longer than `make test`: make explore MINUTES=30 SEED=7
explore: .venv/ready
	$(PY) -m tests.exploration --minutes $(or $(MINUTES),10) --seed $(or $(SEED),1000)
