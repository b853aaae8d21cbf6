#!/bin/sh
# The stand-ins are Python files that run with the interpreter of the deploy file's build and its libraries
# (msgpack); nothing is to be compiled. This checks that they can be imported.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -c 'import sys; sys.path.insert(0, "review/standins"); import standins'
