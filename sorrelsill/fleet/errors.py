"""Exceptions of the fleet package."""

from __future__ import annotations


class FleetError(Exception):
    """Base class of the package's exceptions."""


class CloudError(FleetError):
    """The cloud refused a request or did not answer.

    `status` is the HTTP status, 0 without an answer. `sent` is true if the request may have been carried out."""

    def __init__(self, text: str, status: int = 0, sent: bool = False) -> None:
        super().__init__(text)
        self.status = status
        self.sent = sent


class CatalogError(FleetError, ValueError):
    """The data is not a valid machine catalog."""
