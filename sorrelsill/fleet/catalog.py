"""Parses the machine catalog from the cloud's wire format."""

from __future__ import annotations

from typing import Any

from sorrelsill.fleet.errors import CatalogError
from sorrelsill.model import Catalog, MachineType


def parse_catalog(answer: Any) -> Catalog:
    """Parse the decoded answer of the cloud. Raises CatalogError if it is not a catalog or lists no machine type."""
    try:
        machine_types = [
            MachineType(
                name=str(entry["sku"]),
                cpus=float(entry["vcpus"]),
                gpus=float(entry.get("gpus") or 0),
                memory_gb=float(entry["memoryGb"]),
                cache_gb=float(entry.get("cacheGb") or 0),
                fetch_gb_per_s=max(1e-3, float(entry.get("pullGbPerS") or 1)),
                price=float(entry["price"]),
                spot_price=float(entry.get("spotPrice") or entry["price"]),
                boot_s=float(entry.get("bootS") or 60),
                zones=tuple(str(zone) for zone in entry["regions"]),
            )
            for entry in answer["flavours"]
        ]
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise CatalogError(f"not a catalog: {error!r}") from None
    if not machine_types:
        raise CatalogError("not a catalog: no machine types")
    return Catalog({each.name: each for each in machine_types})
