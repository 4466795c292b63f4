"""The leader's dealings with the cloud: a wanted fleet, and a loop that works out the difference."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec
import trio

from sorrelsill import constants
from sorrelsill.fleet.boot_times import BootTimes
from sorrelsill.fleet.capacity_plan import plan
from sorrelsill.fleet.catalog import parse_catalog
from sorrelsill.fleet.cloud import Cloud, CloudError
from sorrelsill.fleet.demand import FleetDemand, RetainedHeadroom
from sorrelsill.fleet.instances import BootingInstance, InstanceOffer, boot_failed, expected_instances
from sorrelsill.fleet.machine_list import MachineList, MachineListReader
from sorrelsill.fleet.rebalancing import machines_to_drain
from sorrelsill.model import Catalog

if TYPE_CHECKING:
    from sorrelsill.workers import ClusterState, Machine, UnschedulableDemand

log = logging.getLogger(__name__)

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder().decode


@dataclass(slots=True)
class _ScaleOutRequest:
    """A request under its own name; after a lost answer it is repeated under the same name."""

    ref: str
    offer: InstanceOffer
    count: int
    tries: int = 0
    next_at: float = 0.0


class FleetManager:
    """One per term: what is rented and on its way, which offers were refused, which returns are due."""

    def __init__(
        self,
        cloud: Cloud,
        cluster: ClusterState,
        valid: Callable[[], bool],
        unschedulable: Callable[[], list[UnschedulableDemand]],
        optimise_latency: bool,
        lag_s: float,
        latency_sensitive: set[str],
        on_catalog: Callable[[dict[str, Any], Catalog], None] = lambda raw, catalog: None,
        on_drain: Callable[[], None] = lambda: None,
    ) -> None:
        """`on_catalog` is told of each catalog read, `on_drain` that services were told to move."""
        self._cloud = cloud
        self._list = MachineListReader(cloud)
        self._cluster = cluster
        self._valid = valid
        self._unschedulable = unschedulable
        self._demand = FleetDemand(
            cluster,
            unschedulable,
            lambda: self._expected_instances(trio.current_time()),
            optimise_latency,
            latency_sensitive,
        )
        self._optimise_latency = optimise_latency
        self._list_lag_s = lag_s
        self._latency_sensitive = latency_sensitive  # classes whose tasks should start within seconds
        self.booting: dict[str, BootingInstance] = {}
        self._boots = BootTimes()
        self.refused: dict[InstanceOffer, float] = {}
        self._refusals: dict[InstanceOffer, int] = {}
        self._open_requests: list[_ScaleOutRequest] = []
        self._request_counter = 0
        self._catalog_at = float("-inf")
        self._lists_read = 0
        self._reported_at = float("-inf")
        self._running_since: dict[str, float] = {}
        self._returned: dict[str, float] = {}  # machine -> when it went back, or was still listed
        self._returns: dict[str, str] = {}  # machine -> why it goes back
        self._drained_at = float("-inf")
        self._planned_at = float("-inf")
        self._returns_at = float("-inf")
        self._on_drain = on_drain
        self._on_catalog = on_catalog

    async def step(self) -> None:
        """One action at the most; what is most urgent goes first."""
        now = trio.current_time()
        if not self._cluster.catalog.machine_types or now - self._catalog_at > constants.CATALOG_EVERY_S:
            await self._read_catalog()
            if not self._cluster.catalog.machine_types:
                return
        self._forget_arrived(now)
        self._report_use(now)
        if now - self._returns_at >= constants.PLAN_EVERY_S:
            self._returns_at = now
            self._choose_returns(now)
        if self._list.due(now):
            await self._read_list()
        if not self._valid():
            return
        if self._returns:
            await self._scale_in()
        if not self._valid():
            return
        self._rebalance(trio.current_time())
        self._choose_rentals(trio.current_time())
        await self._scale_out()

    # --- reading ---

    async def _read_catalog(self) -> None:
        self._catalog_at = trio.current_time()
        try:
            raw = await self._cloud.call("GET", "/catalog")
            catalog = parse_catalog(raw)
        except (CloudError, ValueError) as error:
            log.info("catalog: %s", error)
            self._catalog_at += constants.RETRY_S * 8 - constants.CATALOG_EVERY_S
            return
        self._on_catalog(raw, catalog)

    async def _read_list(self) -> None:
        found = await self._list.read_page(trio.current_time())
        if found is not None and self._valid():
            self.take_list(found, trio.current_time())

    def take_list(self, found: MachineList, now: float) -> None:
        """The list lags: it adds machines not known and tells of failed ones; absence proves little."""
        self._lists_read += 1
        for name, listed in found.items():
            machine = self._cluster.machines.get(name)
            if listed.phase == "failed":
                self._cluster.gone_for_certain(name, now, "machine failed")
                self.booting.pop(name, None)
                self._returns[name] = "failed"
                continue
            if listed.phase == "running":
                self._running_since.setdefault(name, now)
            if name in self._returned:
                self._returned[name] = now
                continue  # gone; the list will say so later
            if machine is None and name not in self.booting and name not in self._returns:
                since = now - listed.age_s
                self.booting[name] = BootingInstance(name, listed.machine_type, listed.zone, listed.spot, since)
            if listed.phase == "booting" and name in self.booting:
                self.booting[name].booted_for = listed.age_s
        for name in [n for n in self._running_since if n not in found]:
            del self._running_since[name]
        list_delay_s = 3 * self._list_lag_s + self._list.interval_s
        self._returned = {n: at for n, at in self._returned.items() if now - at < 2 * list_delay_s}
        for name, instance in list(self.booting.items()):
            if name not in found and now - instance.since > list_delay_s:
                del self.booting[name]
        for name, machine in list(self._cluster.machines.items()):
            if name not in found and machine.lease_expired and now - machine.seen_at > list_delay_s:
                self._cluster.drop(machine, now)

    def _report_use(self, now: float) -> None:
        """For operators who ask where the money goes: machines, room and use by kind."""
        if not log.isEnabledFor(logging.DEBUG) or now - self._reported_at < constants.USE_LOG_S:
            return
        self._reported_at = now
        kinds: dict[tuple[str, bool], list[float]] = {}
        for machine in self._cluster.machines.values():
            row = kinds.setdefault((machine.machine_type, machine.spot), [0, 0, 0, 0, 0])
            row[0] += 1
            row[1] += machine.capacity_cpus
            for a in machine.attempts.values():
                if a.spec is not None:
                    row[2 if a.phase == "running" else 3] += a.spec.cpus
        for p in self.booting.values():
            kinds.setdefault((p.machine_type, p.spot), [0, 0, 0, 0, 0])[4] += 1
        for (machine_type, spot), row in sorted(kinds.items()):
            log.debug(
                "use: %s%s %d machines, %g CPUs, %g running, %g not yet; %d coming",
                machine_type,
                " spot" if spot else "",
                *row,
            )
        waiting = [(u.job.spec.job_id, u.count, u.job.spec.expected_run_s) for u in self._unschedulable()]
        log.debug("waiting: %s", waiting)

    # --- returning ---

    def _forget_arrived(self, now: float) -> None:
        for name in [n for n in self.booting if n in self._cluster.machines]:
            arrived = self.booting.pop(name)
            if arrived.ours:
                self._boots.record(arrived.machine_type, now - arrived.since)
        self.refused = {o: t for o, t in self.refused.items() if t > now}

    def _choose_returns(self, now: float) -> None:
        keep = RetainedHeadroom(self._demand, self._unschedulable())
        for machine in sorted(self._cluster.index.idle, key=lambda idle: idle.name):
            if machine.name not in self._returns:
                self._choose_return(machine, keep, now)
        for name, instance in self.booting.items():
            if name in self._cluster.failover.unconfirmed:
                continue
            up = self._running_since.get(name)
            if boot_failed(instance, self._boots, self._cluster.catalog, now, self._cluster.started):
                self._returns.setdefault(name, "never came up")
            elif up is not None and now - up > 2 * constants.UNRESPONSIVE_RETURN_S:
                self._returns.setdefault(name, "up but silent")

    def _choose_return(self, machine: Machine, keep: RetainedHeadroom, now: float) -> None:
        if machine.lease_expired:
            if now - machine.seen_at > self._cluster.loss_s + constants.UNRESPONSIVE_RETURN_S:
                self._returns[machine.name] = "silent"
            return
        if (
            machine.bound_count
            or machine.unknown
            or machine.spot_reclaim_at is not None
            or not machine.token_acknowledged
        ):
            return
        if any(not a.clearable for a in machine.attempts.values()):
            return  # a result that is not recorded yet
        if machine.quarantined:
            self._start_return(machine, "quarantined")
        elif machine.draining:
            self._start_return(machine, "drained")
        elif now - max(machine.idle_since, self._cluster.started) > self._idle_limit_s(machine) and keep.permits_return(
            machine
        ):
            self._start_return(machine, "idle")

    def _idle_limit_s(self, machine: Machine) -> float:
        """How long a machine may idle: it is paid for its first minute anyway."""
        if self._optimise_latency:
            return constants.IDLE_RETURN_LATENCY_S
        kind = self._cluster.catalog.machine_types.get(machine.machine_type)
        return constants.IDLE_OF_BOOT * (kind.boot_s if kind is not None else constants.MIN_CHARGE_S)

    def _start_return(self, machine: Machine, why: str) -> None:
        machine.returning = True
        self._returns[machine.name] = why

    async def _scale_in(self) -> None:
        """Nothing is bound to what goes back; that was decided without an await in between."""
        names = []
        for name in list(self._returns):
            machine = self._cluster.machines.get(name)
            if machine is not None and (machine.bound_count or machine.unknown):
                # It came back to life, with work: it stays.
                machine.returning = False
                del self._returns[name]
                continue
            if machine is not None:
                machine.returning = True
            names.append(name)
        names = names[: constants.SCALE_IN_BATCH_MAX]
        if not names:
            return
        try:
            await self._cloud.call("POST", "/rentals/return", {"hosts": names}, self._valid)
        except CloudError as error:
            log.info("returning: %s", error)
            return
        now = trio.current_time()
        for name in names:
            log.info("returned %s: %s", name, self._returns.get(name))
            self._returns.pop(name, None)
            self.booting.pop(name, None)
            self._returned[name] = now
            self._cluster.gone_for_certain(name, now, "machine returned")

    def _rebalance(self, now: float) -> None:
        """In quiet times, a few machines at a time: their services move to fuller ones and they go back. One at a time
        was too slow for hundreds, and so was waiting for a moment when none is coming up: there is none."""
        cluster = self._cluster
        if self._optimise_latency or self._open_requests or now - self._drained_at < constants.DRAIN_EVERY_S:
            return
        few = int(constants.DRAIN_SHARE * len(cluster.index.ready))
        if len(self.booting) > few or cluster.failover.unconfirmed:
            return
        if any(u.count for u in self._unschedulable()) or any(
            machine.draining for machine in cluster.machines.values()
        ):
            return
        self._drained_at = now
        spare = self._demand.service_headroom_spec()
        zones = sorted(self._demand.service_capacity(spare)) if spare is not None else []
        machines = machines_to_drain(cluster.index.ready, cluster.jobs, now, self._price, spare, zones, max(1, few))
        for machine in machines:
            log.info("draining %s: its services fit elsewhere", machine.name)
            machine.draining = True
            for attempt in list(machine.attempts.values()):
                cluster.stop(attempt, "moved to a fuller machine", immediately=True)
        if machines:
            self._on_drain()

    def _price(self, machine: Machine) -> float:
        kind = self._cluster.catalog.machine_types.get(machine.machine_type)
        return kind.cost(machine.spot) if kind is not None else 0.0

    # --- renting ---

    def _choose_rentals(self, now: float) -> None:
        if self._open_requests or self._lists_read == 0:
            return  # first learn what is there: an earlier leader's rentals are still coming up
        if now - self._planned_at < constants.PLAN_EVERY_S:
            return
        self._planned_at = now
        in_zone: dict[str, int] = {}
        for machine in self._cluster.machines.values():
            in_zone[machine.zone] = in_zone.get(machine.zone, 0) + 1
        for p in self.booting.values():
            in_zone[p.zone] = in_zone.get(p.zone, 0) + 1
        wanted = plan(
            self._demand.demands(now),
            self._expected_instances(now),
            self._cluster.catalog,
            self.refused,
            now,
            in_zone,
            self._optimise_latency,
        )
        for offer, count in sorted(wanted.items(), key=lambda i: -i[1]):
            self._request_counter += 1
            ref = f"r-{self._cluster.term}-{self._request_counter}"
            self._open_requests.append(_ScaleOutRequest(ref, offer, min(count, constants.SCALE_OUT_BATCH_MAX)))

    def _expected_instances(self, now: float) -> list[BootingInstance]:
        return expected_instances(list(self.booting.values()), self._boots, self._cluster.catalog, now)

    def _back_off(self, offer: InstanceOffer, now: float) -> None:
        """Not again for a while, longer each time: refused calls use up the cloud's rate all the same."""
        times = self._refusals.get(offer, 0)
        self._refusals[offer] = times + 1
        self.refused[offer] = now + min(constants.NO_CAPACITY_MAX_S, constants.NO_CAPACITY_S * 2**times)

    async def _scale_out(self) -> None:
        now = trio.current_time()
        due = [r for r in self._open_requests if r.next_at <= now]
        if not due:
            return
        request = due[0]
        machine_type, zone, spot = request.offer
        body = {
            "hireRef": request.ref,
            "flavour": machine_type,
            "region": zone,
            "reclaimable": spot,
            "howMany": request.count,
        }
        request.tries += 1
        try:
            answer = await self._cloud.call("POST", "/rentals", body, self._valid)
            names = [str(n) for n in answer["hosts"]]
        except (CloudError, KeyError, TypeError) as error:
            status = getattr(error, "status", 0)
            now = trio.current_time()
            if "no capacity" in str(error) or status == 400:
                self._back_off(request.offer, now)
                self._open_requests.remove(request)
            elif request.tries >= constants.SCALE_OUT_TRIES and not getattr(error, "sent", True):
                self._open_requests.remove(request)
            elif request.tries >= 3 * constants.SCALE_OUT_TRIES:
                # If it was carried out after all, the machines show up by their reports and in the list.
                self._open_requests.remove(request)
            else:
                request.next_at = now + min(5.0, constants.RETRY_S * 2**request.tries)
            log.info("renting %d %s in %s: %s", request.count, machine_type, zone, error)
            return
        now = trio.current_time()
        self._open_requests.remove(request)
        for name in names:
            if name not in self._cluster.machines:
                self.booting[name] = BootingInstance(name, machine_type, zone, spot, now, ours=True)
        self._refusals.pop(request.offer, None)
        if len(names) < request.count:
            self._back_off(request.offer, now)
        log.info("rented %d of %d %s in %s, spot %s", len(names), request.count, machine_type, zone, spot)
