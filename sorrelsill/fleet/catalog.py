"""Parses the cloud's catalog, under the names of the wire."""

from __future__ import annotations

from typing import Any

from sorrelsill.model import Catalog, MachineType


def parse_catalog(answer: Any) -> Catalog:
    """ValueError if the answer is not a catalog."""
    try:
        machine_types = [
            MachineType(
                name=str(f["sku"]),
                cpus=float(f["vcpus"]),
                gpus=float(f.get("gpus") or 0),
                memory_gb=float(f["memoryGb"]),
                cache_gb=float(f.get("cacheGb") or 0),
                fetch_gb_per_s=max(1e-3, float(f.get("pullGbPerS") or 1)),
                price=float(f["price"]),
                spot_price=float(f.get("spotPrice") or f["price"]),
                boot_s=float(f.get("bootS") or 60),
                zones=tuple(str(r) for r in f["regions"]),
            )
            for f in answer["flavours"]
        ]
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a catalog: {error!r}") from None
    if not machine_types:
        raise ValueError("not a catalog: no machine types")
    return Catalog({f.name: f for f in machine_types})
