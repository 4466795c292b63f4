"""sorrelsill: a cluster scheduler. One of its controllers leads at a time, elected by a lease in a key-value store."""

__version__ = "0.1.0"
