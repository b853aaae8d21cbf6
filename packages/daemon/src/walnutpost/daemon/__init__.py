"""A front end as a process: builds and connects listeners, gateway, workers, store and configuration.

Nothing is imported here, so that the node can import single modules without loading the others.
"""
