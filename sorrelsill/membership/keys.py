"""The keys of failure detection in the key-value store."""

PRESENCE_PREFIX = "s/n/"  # keys by which controllers show in the key-value store that they run


def presence_key(label: str) -> str:
    """The key of a controller."""
    return PRESENCE_PREFIX + label
