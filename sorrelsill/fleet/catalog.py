"""Parses the cloud's catalog, under the names of the wire."""

from __future__ import annotations

from typing import Any

from sorrelsill.fleet.errors import CatalogError
from sorrelsill.model import Catalog, MachineType


def parse_catalog(answer: Any) -> Catalog:
    """CatalogError if the answer is not a catalog."""
    try:
        machine_types = [
            MachineType(
                name=str(offered["sku"]),
                cpus=float(offered["vcpus"]),
                gpus=float(offered.get("gpus") or 0),
                memory_gb=float(offered["memoryGb"]),
                cache_gb=float(offered.get("cacheGb") or 0),
                fetch_gb_per_s=max(1e-3, float(offered.get("pullGbPerS") or 1)),
                price=float(offered["price"]),
                spot_price=float(offered.get("spotPrice") or offered["price"]),
                boot_s=float(offered.get("bootS") or 60),
                zones=tuple(str(zone) for zone in offered["regions"]),
            )
            for offered in answer["flavours"]
        ]
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise CatalogError(f"not a catalog: {error!r}") from None
    if not machine_types:
        raise CatalogError("not a catalog: no machine types")
    return Catalog({each.name: each for each in machine_types})
