"""Serve the simulator's protocol on standard input and output."""

import sys

from walnutpost.adapter.host import serve

if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
