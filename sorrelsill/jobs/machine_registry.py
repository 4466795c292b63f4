"""The registry of machines that may hold work, many to a key: which key to write next. Pure.

A part that is full goes on in further keys (`WatchCache.registry_parts`). The version before this one takes every map
under the prefix for entries, so it waits for those machines too; it removes entries from the first key only, and what
it leaves behind costs the next leader a wait, until a leader of this version removes it wherever it stands.
A machine may stand in two keys at any time: removing it means all of them, finding it means any."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from sorrelsill.jobs.records import json_size

Entries = dict[str, Any]


@dataclass(slots=True)
class RegistryWrite:
    """One value to put, and what its commit means."""

    key: str
    value: Entries
    added: list[str] = field(default_factory=list)


def next_registry_write(
    base: str, parts: dict[str, Entries], add: Entries, gone: set[str], limit: int
) -> RegistryWrite | None:
    """The next key to write so that `add` stands in some part and `gone` in none; None if nothing is left to do or
    fits. A part that was written when longer values were allowed is shrunk by writes that fit: first its entries are
    copied to further keys, then those that stand elsewhere are left out of it."""
    for key, value in parts.items():
        slim = {n: e for n, e in value.items() if n not in gone}
        if json_size(slim) > limit:
            elsewhere = {n for k, v in parts.items() if k != key and json_size(v) <= limit for n in v}
            left = {n: e for n, e in slim.items() if n not in elsewhere}
            if json_size(left) <= limit:
                return RegistryWrite(key, left)
            return _fill(base, {k: v for k, v in parts.items() if k != key}, left, limit, parts)
        here = {n: e for n, e in add.items() if n in slim and slim[n] != e}
        same = [n for n in add if n in slim and slim[n] == add[n]]
        if here or len(slim) != len(value) or same:
            trial = {**slim, **here}
            if json_size(trial) <= limit:
                return RegistryWrite(key, trial, [*here, *same])
    return _fill(base, parts, add, limit, parts) if add else None


def _fill(
    base: str, into: dict[str, Entries], entries: Entries, limit: int, parts: dict[str, Entries]
) -> RegistryWrite | None:
    """Put as many of the entries as fit into the first part with room, or into a new one."""
    new = base if base not in parts else f"{base}.{len(parts)}"
    for key, value in [*into.items(), (new, {})]:
        grown = dict(value)
        size = json_size(grown)
        added = []
        if size > limit:
            continue
        for name, entry in entries.items():
            more = json_size({name: entry})
            if name not in grown and size + more <= limit:
                grown[name] = entry
                size += more
                added.append(name)
        if added:
            return RegistryWrite(key, grown, added)
    return None
