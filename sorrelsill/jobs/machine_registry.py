"""The registry of machines that may hold work, with many machines per key: computes which key to write next. No I/O.

The registry consists of a fixed number of parts, and the hash of a machine's name decides its part. A part whose first
key is full continues in further keys (`WatchCache.registry_keys`). The previous version reads every map under the
prefix as entries, so its leader waits for machines in further keys too. But that leader removes entries from the first
key only; an entry left in a further key makes the next leader wait for that machine in vain, until a leader of this
version removes it from all keys.

A machine may have entries in two keys at any time: it is registered if any key holds an entry, and a deregistration
removes the entries from all keys."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from sorrelsill.jobs.records import json_size

Entries = dict[str, Any]


@dataclass(slots=True)
class RegistryWrite:
    """One value to put, and the machines that are registered once it is committed."""

    key: str
    value: Entries
    added: list[str] = field(default_factory=list)  # machines of the requested entries that the value holds


def next_registry_write(
    base: str, stored: dict[str, Entries], add: Entries, removed: set[str], limit: int
) -> RegistryWrite | None:
    """The next write towards a state where each entry of `add` is in some key and each machine of `removed` in none.
    `base` is the first key of one part of the registry, and `stored` maps the part's keys to their values; `limit` is
    the maximum size of a value in bytes. Returns None if nothing is left to do or nothing fits.

    A value longer than `limit`, written when longer values were allowed, is shrunk in steps that fit: first its entries
    are copied to other keys, then those found elsewhere are dropped."""
    for key, value in stored.items():
        kept = {name: entry for name, entry in value.items() if name not in removed}
        if json_size(kept) > limit:
            return _shrink(base, stored, key, kept, limit)
        changed = {name: entry for name, entry in add.items() if name in kept and kept[name] != entry}
        unchanged = [name for name in add if name in kept and kept[name] == add[name]]
        if changed or len(kept) != len(value) or unchanged:
            updated = {**kept, **changed}
            if json_size(updated) <= limit:
                return RegistryWrite(key, updated, [*changed, *unchanged])
    return _add_entries(base, stored, add, limit, stored) if add else None


def _shrink(base: str, stored: dict[str, Entries], key: str, kept: Entries, limit: int) -> RegistryWrite | None:
    """One step towards a shorter value of `key`: drops entries that other keys hold, or else copies the remaining ones
    to other keys."""
    others = {other: value for other, value in stored.items() if other != key}
    elsewhere = {name for value in others.values() if json_size(value) <= limit for name in value}
    only_here = {name: entry for name, entry in kept.items() if name not in elsewhere}
    if json_size(only_here) <= limit:
        return RegistryWrite(key, only_here)
    return _add_entries(base, others, only_here, limit, stored)


def _add_entries(
    base: str, into: dict[str, Entries], entries: Entries, limit: int, stored: dict[str, Entries]
) -> RegistryWrite | None:
    """Puts as many of the entries as fit into the first key of `into` that has room, or into a new key."""
    new_key = base if base not in stored else f"{base}.{len(stored)}"
    for key, value in [*into.items(), (new_key, {})]:
        grown = dict(value)
        size = json_size(grown)
        added = []
        if size > limit:
            continue
        for name, entry in entries.items():
            entry_size = json_size({name: entry})
            if name not in grown and size + entry_size <= limit:
                grown[name] = entry
                size += entry_size
                added.append(name)
        if added:
            return RegistryWrite(key, grown, added)
    return None
