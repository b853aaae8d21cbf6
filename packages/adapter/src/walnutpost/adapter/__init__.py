"""Puts the decision module on a wire: bytes in, events to routers, actions out."""
