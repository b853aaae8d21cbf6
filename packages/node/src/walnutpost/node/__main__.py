"""`python -m walnutpost.node`: runs one front end, configured by the file that `NODE_CONFIG` names."""

import os
import sys

from walnutpost.node.run import main

if __name__ == "__main__":
    code = main()
    sys.stdout.flush()
    sys.stderr.flush()
    # A regular interpreter exit takes 50 to 90 ms of the 100 ms that are left until SIGKILL may arrive.
    os._exit(code)
