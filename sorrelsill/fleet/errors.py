"""Errors of the fleet."""

from __future__ import annotations


class FleetError(Exception):
    """Base of the package's errors."""


class CloudError(FleetError):
    """The cloud refused a request or did not answer; `sent` tells whether it may have been carried out."""

    def __init__(self, text: str, status: int = 0, sent: bool = False) -> None:
        super().__init__(text)
        self.status = status
        self.sent = sent


class CatalogError(FleetError, ValueError):
    """What was read is not a catalog."""
