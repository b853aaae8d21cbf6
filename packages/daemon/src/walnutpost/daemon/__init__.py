"""A front end as a process: builds and connects listeners, gateway, workers, store and configuration.

Nothing is imported here: the node imports parts alone, without what the rest would load.
"""
