"""`python -m walnutpost.node`: one front end, configured by `NODE_CONFIG`."""

import os
import sys

from walnutpost.node.run import main

if __name__ == "__main__":
    code = main()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(
        code
    )  # a regular exit of the interpreter takes 50 to 90 ms of the last 100 before SIGKILL may come
