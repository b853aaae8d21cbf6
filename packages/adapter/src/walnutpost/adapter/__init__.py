"""The simulator's protocol: bytes in, events to routers, actions out. It decides nothing.

`frames` are the layouts and tables of the wire, `decoding` and `encoding` use them, `host` feeds the routers,
`settings` reads the settings object, which a node gets too.
"""
