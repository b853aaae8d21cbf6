.PHONY: check setup format run

setup: .venv/.installed

.venv/.installed: pyproject.toml
	test -x .venv/bin/python || python3 -m venv .venv
	.venv/bin/pip -q install -e '.[dev]'
	touch .venv/.installed

run: setup
	.venv/bin/walnutpost up examples/kilbride.json5

check: setup
	.venv/bin/ruff check walnutpost tests benchmarks
	.venv/bin/ruff format --check walnutpost tests benchmarks
	.venv/bin/mypy
	.venv/bin/python -m pytest

format: setup
	.venv/bin/ruff check --fix walnutpost tests benchmarks
	.venv/bin/ruff format walnutpost tests benchmarks
