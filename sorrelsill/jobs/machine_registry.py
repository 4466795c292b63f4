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
        kept = {name: entry for name, entry in value.items() if name not in gone}
        if json_size(kept) > limit:
            return _shrink(base, parts, key, kept, limit)
        changed = {name: entry for name, entry in add.items() if name in kept and kept[name] != entry}
        unchanged = [name for name in add if name in kept and kept[name] == add[name]]
        if changed or len(kept) != len(value) or unchanged:
            trial = {**kept, **changed}
            if json_size(trial) <= limit:
                return RegistryWrite(key, trial, [*changed, *unchanged])
    return _fill(base, parts, add, limit, parts) if add else None


def _shrink(base: str, parts: dict[str, Entries], key: str, kept: Entries, limit: int) -> RegistryWrite | None:
    """A step toward a shorter value of `key`: leave out what stands elsewhere, or copy what doesn't."""
    others = {other: value for other, value in parts.items() if other != key}
    elsewhere = {name for value in others.values() if json_size(value) <= limit for name in value}
    only_here = {name: entry for name, entry in kept.items() if name not in elsewhere}
    if json_size(only_here) <= limit:
        return RegistryWrite(key, only_here)
    return _fill(base, others, only_here, limit, parts)


def _fill(
    base: str, into: dict[str, Entries], entries: Entries, limit: int, parts: dict[str, Entries]
) -> RegistryWrite | None:
    """Put as many of the entries as fit into the first key of `into` with room, or into a new one."""
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
