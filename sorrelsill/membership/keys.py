"""The keys of failure detection in the state service."""

PRESENCE_PREFIX = "s/n/"  # keys by which controllers show in the state service that they run


def presence_key(label: str) -> str:
    """The key of a controller."""
    return PRESENCE_PREFIX + label
