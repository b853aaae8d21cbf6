.PHONY: check setup format

setup:
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt

check: setup
	.venv/bin/ruff check walnutpost tests
	.venv/bin/ruff format --check walnutpost tests
	.venv/bin/mypy
	.venv/bin/python -m pytest

format: setup
	.venv/bin/ruff check --fix walnutpost tests
	.venv/bin/ruff format walnutpost tests
