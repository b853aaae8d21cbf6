"""`python -m walnutpost.node`: one front end, told by `NODE_CONFIG`."""

import sys

from walnutpost.node.run import main

if __name__ == "__main__":
    sys.exit(main())
