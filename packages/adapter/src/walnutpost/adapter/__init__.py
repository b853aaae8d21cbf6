"""The adapter between the simulator's protocol and the routers: records to events, actions to records.

It makes no decisions. `frames` defines the record layouts and code tables, `decoding` and `encoding`
use them, `host` passes events to the routers, and `settings` parses the settings object, which the node
package also uses.
"""
