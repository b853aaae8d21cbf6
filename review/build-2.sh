#!/bin/sh
# Builds what the scripts of review/6 to review/10 start. To be run once, from any folder, after the command `build`
# of deploy/balancer.toml, with the package mirrors at hand as for that command. The stand-ins (workers, executors,
# clients, the name server) are Python programs of the standard library and of requirements.txt, and need no build. The
# project's own programs beside the platform's front end (`walnutpost serve`) are installed by the project's own
# `make setup`, into the same .venv; nothing is added to its dependencies. Case 9 needs the deploy file's build alone;
# without `make setup` the other four exit with 2.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -c "import walnutpost.node, msgpack, dns.message"
make setup && .venv/bin/python -c "import walnutpost.cli" || {
    echo "make setup has failed: review/6, 7, 8 and 10 can't run" >&2
}
