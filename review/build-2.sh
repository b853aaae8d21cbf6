#!/bin/sh
# Builds what the scripts of review/6 to review/10 start. To be run once, from any folder, after the command `build`
# of deploy/balancer.toml, with the package mirrors at hand as for that command. The stand-ins (workers, clients,
# proxies) are Python programs of the standard library and need no build. The project's own programs beside the
# platform's front end (`walnutpost serve`, `control-plane`, `agent`, `worker`) are installed by the project's own
# `make setup`, into the same .venv; nothing is added to its dependencies.
set -eu
cd "$(dirname "$0")/.."
make setup
.venv/bin/python -c "import walnutpost.node, walnutpost.cli"
