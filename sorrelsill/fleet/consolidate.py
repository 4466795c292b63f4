"""Which machine's services to move together elsewhere, so that it can go back: pure decisions."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from sorrelsill import constants as C

if TYPE_CHECKING:
    from sorrelsill.jobs import Spec
    from sorrelsill.workers import Host, Job


class _Room:
    """What would be left on a machine."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.cpus = host.cap_cpus - host.cpus
        self.gpus = host.cap_gpus - host.gpus
        self.memory = host.cap_memory - host.memory

    def fits(self, spec: Spec) -> bool:
        return self.cpus + 1e-6 >= spec.cpus and self.gpus + 1e-6 >= spec.gpus and self.memory + 1e-6 >= spec.memory

    def take(self, spec: Spec) -> None:
        self.cpus -= spec.cpus
        self.gpus -= spec.gpus
        self.memory -= spec.memory


def machine_to_drain(
    hosts: Iterable[Host],
    jobs: dict[str, Job],
    now: float,
    price: Callable[[Host], float],
    spare: Spec | None,
    zones: list[str],
) -> Host | None:
    """The machine whose services fit on others that hold their images, dearest for what it carries first.
    Room for one more service stays ready in every zone, or a machine would be rented again at once."""
    usable = [h for h in hosts if h.usable()]
    found: list[tuple[float, Host]] = []
    for host in usable:
        tasks = [a for a in host.attempts.values() if a.spec is not None]
        if host.spot or not tasks or any(not a.exited for a in host.attempts.values() if a.spec is None):
            continue
        if any(
            a.stop or a.spec is None or not a.spec.endless or a.running_since is None
            or now - a.running_since < C.SETTLED_S
            for a in tasks
        ):  # fmt: skip
            continue
        found.append((host.cpus / max(price(host), 1e-9), host))
    found.sort(key=lambda item: item[0])
    return next((h for _, h in found[: C.DRAIN_TRIES] if _can_move(h, usable, jobs, spare, zones)), None)


def _can_move(host: Host, usable: list[Host], jobs: dict[str, Job], spare: Spec | None, zones: list[str]) -> bool:
    rooms = sorted((_Room(h) for h in usable if h is not host), key=lambda r: r.cpus)
    counts: dict[str, dict[str, int]] = {}
    tasks = [a for a in host.attempts.values() if a.spec is not None]
    for attempt in sorted(tasks, key=lambda a: -(a.spec.cpus if a.spec is not None else 0.0)):
        spec, job = attempt.spec, jobs.get(attempt.uid)
        if spec is None or job is None or spec.one_zone:
            return False
        zone = counts.setdefault(attempt.uid, dict(job.zones))
        zone[host.zone] = zone.get(host.zone, 0) - 1
        for room in rooms:
            target = room.host
            if (
                target.allows(spec)
                and spec.bundle in target.images
                and room.fits(spec)
                and zone.get(target.zone, 0) + 1 <= spec.zone_limit
                and job.avoid.get(target.name, 0.0) <= 0.0
            ):
                room.take(spec)
                zone[target.zone] = zone.get(target.zone, 0) + 1
                break
        else:
            return False
    if spare is None:
        return True
    for name in zones:
        slots = 0
        for room in rooms:
            if room.host.zone == name and room.host.allows(spare):
                slots += int(min(room.cpus / max(spare.cpus, 0.1), room.memory / max(spare.memory, 0.1)) + 1e-6)
        if slots < spare.zone_limit:
            return False
    return True
