"""The keys of failure detection in the key-value store."""

PRESENCE_PREFIX = "s/n/"  # one key per running controller


def presence_key(label: str) -> str:
    """The presence key of a controller."""
    return PRESENCE_PREFIX + label
