"""Adds changes of the machine registry to a write batch. The registry lists the machines that may hold work, many per
key.

Each write is conditional on the revision of the value that it replaces. Otherwise a removal that is applied late or
twice could delete an entry added later in the same term, and the next leader would not wait for that machine."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from functools import partial

from sorrelsill.events import log_event
from sorrelsill.jobs.machine_registry import RegistryWrite, next_registry_write
from sorrelsill.jobs.records import json_size
from sorrelsill.jobs.write_batch import WriteBatch
from sorrelsill.jobs.write_quarantine import WriteQuarantine
from sorrelsill.model import RegistryEntry
from sorrelsill.store import Compare, KeyValueStore, Put, WatchCache, registry_key
from sorrelsill.workers import ClusterState, Machine

log = logging.getLogger(__name__)

_KEY_OVERHEAD_BYTES = 50  # bytes in a transaction for one key of the registry, besides key and value


@dataclass(slots=True)
class _DuePart:
    """A part of the registry (a first key and the keys that continue it) that has to change."""

    any_machine: str  # any machine of the part, to look up its keys
    to_register: dict[str, Machine] = field(default_factory=dict)


def _entry(machine: Machine) -> RegistryEntry:
    return RegistryEntry(machine.machine_type, machine.addr, machine.zone, machine.spot)


class RegistryWrites:
    """Turns due registrations and deregistrations of machines into writes."""

    def __init__(
        self, store: KeyValueStore, watch_cache: WatchCache, cluster: ClusterState, quarantine: WriteQuarantine
    ) -> None:
        self._store = store
        self._watch_cache = watch_cache
        self._cluster = cluster
        self._quarantine = quarantine

    def add_to(self, batch: WriteBatch) -> None:
        """Adds one write for each part that has to change, as long as the batch has room."""
        for base, part in sorted(self._due_parts().items()):
            self._add_part(batch, base, part)

    def _due_parts(self) -> dict[str, _DuePart]:
        """The parts that have to change; each dictionary key is the first registry key of a part. Also removes pending
        changes that need no write any more."""
        pending = self._cluster.pending_writes
        due: dict[str, _DuePart] = {}
        for name in list(pending.deregistrations):
            machine = self._cluster.machines.get(name)
            if machine is not None and machine.token_acknowledged or not self._is_stored(name):
                pending.deregistrations.discard(name)
            else:
                due[registry_key(name)] = _DuePart(name)
        for name, machine in list(pending.registrations.items()):
            if not machine.token_acknowledged or machine.registered or machine.returning:
                del pending.registrations[name]
            else:
                due.setdefault(registry_key(name), _DuePart(name)).to_register[name] = machine
        return due

    def _is_stored(self, name: str) -> bool:
        return any(name in value for value, _ in self._watch_cache.registry_keys(name).values())

    def _add_part(self, batch: WriteBatch, base: str, part: _DuePart) -> None:
        stored = self._watch_cache.registry_keys(part.any_machine)
        # A further key is used only for entries that would make a value longer than the store accepts: entries that are
        # moved may be in two keys, and a leader of the previous version never confirms a machine that it finds twice.
        write = next_registry_write(
            base,
            {key: value for key, (value, _) in stored.items()},
            {name: _entry(machine).to_stored() for name, machine in part.to_register.items()},
            self._cluster.pending_writes.deregistrations,
            self._store.value_bytes,
        )
        if write is None:
            # A machine without an entry gets no work, so this is logged as an error.
            log_event(log, logging.ERROR, "registry_entries_too_long", key=base, machines=len(part.to_register))
            return
        size = json_size(write.value) + len(write.key) + _KEY_OVERHEAD_BYTES
        if not self._quarantine.admits(batch, write.key) or not batch.has_room(max(1, len(stored)), 1, size):
            return
        # The conditions cover all keys of the part: the write may drop an entry because another key also holds it.
        compares = [Compare(key, rev) for key, (_, rev) in stored.items()]
        if write.key not in stored:
            compares.append(Compare(write.key, 0))
        added = [(part.to_register[n], part.to_register[n].incarnation) for n in write.added if n in part.to_register]
        on_commit = partial(self._committed, write, added)
        batch.add(write.key, compares, [Put(write.key, write.value)], size, on_commit)

    def _committed(self, write: RegistryWrite, added: list[tuple[Machine, int]], rev: int) -> None:
        """Lets added machines get work. A machine whose incarnation changed since the write was prepared is registered
        again first. Deregistrations stay due until no key holds the machine."""
        cluster = self._cluster
        self._watch_cache.apply_change(write.key, write.value, rev, True)
        for machine, incarnation in added:
            cluster.pending_writes.registrations.pop(machine.name, None)
            if machine.token_acknowledged and machine.incarnation == incarnation:
                machine.registered = True
                cluster.wake_scheduler = True
            elif machine.token_acknowledged:
                cluster.pending_writes.registrations[machine.name] = machine
