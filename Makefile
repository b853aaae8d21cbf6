.PHONY: check setup format run

MEMBERS := $(dir $(wildcard packages/*/pyproject.toml))
CODE := packages tests benchmarks
empty :=
space := $(empty) $(empty)
export MYPYPATH := $(subst $(space),:,$(wildcard packages/*/src))

setup: .venv/.installed

.venv/.installed: pyproject.toml $(MEMBERS:%=%pyproject.toml)
	test -x .venv/bin/uv || { python3 -m venv .venv && .venv/bin/pip -q install uv==0.13.8; }
	.venv/bin/uv pip install -q --python .venv/bin/python $(MEMBERS:%=-e ./%) --group dev
	touch .venv/.installed

run: setup
	.venv/bin/walnutpost up examples/kilbride.json5

check: setup
	.venv/bin/ruff check $(CODE)
	.venv/bin/ruff format --check $(CODE)
	.venv/bin/mypy
	.venv/bin/python -m pytest

format: setup
	.venv/bin/ruff check --fix $(CODE)
	.venv/bin/ruff format $(CODE)
