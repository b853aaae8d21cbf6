"""The simulator's protocol: decodes its records to events for the routers and encodes their actions.

The adapter makes no decisions. `frames` defines the record layouts and code tables, `decoding` and `encoding`
use them, `host` passes events to the routers, and `settings` parses the settings object, which the node
package also uses.
"""
