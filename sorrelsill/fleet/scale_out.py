"""Scaling out: rental requests for the capacity plan, repeated under one name until the outcome is known."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import trio

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.fleet.capacity_plan import plan
from sorrelsill.fleet.cloud import Cloud
from sorrelsill.fleet.demand import FleetDemand
from sorrelsill.fleet.errors import CloudError
from sorrelsill.fleet.fleet_state import FleetState
from sorrelsill.fleet.instances import BootingInstance, InstanceOffer

log = logging.getLogger(__name__)

_BAD_REQUEST = 400
_NO_CAPACITY = "no capacity"  # in the cloud's error text
_UNKNOWN_OUTCOME_TRIES = 3 * constants.SCALE_OUT_TRIES  # a request that may have been carried out is repeated longer
_RETRY_MAX_S = 5.0  # s; longest pause between two tries of a request


class RentalRequest(msgspec.Struct, frozen=True):
    """Body of a rental request, under the names of the wire."""

    request_name: str = msgspec.field(name="hireRef")
    machine_type: str = msgspec.field(name="flavour")
    zone: str = msgspec.field(name="region")
    spot: bool = msgspec.field(name="reclaimable")
    count: int = msgspec.field(name="howMany")


@dataclass(slots=True)
class _OpenRequest:
    """A request whose outcome is not known; after a lost answer it is repeated under the same name."""

    name: str
    offer: InstanceOffer
    count: int
    tries: int = 0
    next_at: float = 0.0


class ScaleOut:
    """Plans what to rent and sends one request at a time."""

    def __init__(self, state: FleetState, demand: FleetDemand, cloud: Cloud, valid: Callable[[], bool]) -> None:
        self._state = state
        self._demand = demand
        self._cloud = cloud
        self._valid = valid  # whether this controller leads
        self.open_requests: list[_OpenRequest] = []
        self._request_counter = 0
        self._planned_at = float("-inf")
        self._refused: dict[InstanceOffer, float] = {}  # until when an offer is not requested again
        self._refusals: dict[InstanceOffer, int] = {}  # in a row

    def expire_refusals(self, now: float) -> None:
        """Offers whose pause is over may be requested again."""
        self._refused = {offer: until for offer, until in self._refused.items() if until > now}

    def plan(self, now: float) -> None:
        """Open requests for what is missing, the largest first."""
        if self.open_requests or self._state.lists_read == 0:
            return  # first learn what is there: an earlier leader's instances are still booting
        if now - self._planned_at < constants.PLAN_EVERY_S:
            return
        self._planned_at = now
        state = self._state
        wanted = plan(
            self._demand.demands(now),
            state.expected_instances(now),
            state.cluster.catalog,
            self._refused,
            now,
            self._machines_by_zone(),
            state.settings.optimise_latency,
        )
        for offer, count in sorted(wanted.items(), key=lambda item: -item[1]):
            self._request_counter += 1
            name = f"r-{state.cluster.term}-{self._request_counter}"
            self.open_requests.append(_OpenRequest(name, offer, min(count, constants.SCALE_OUT_BATCH_MAX)))

    def _machines_by_zone(self) -> dict[str, int]:
        by_zone: dict[str, int] = {}
        for machine in self._state.cluster.machines.values():
            by_zone[machine.zone] = by_zone.get(machine.zone, 0) + 1
        for instance in self._state.booting.values():
            by_zone[instance.zone] = by_zone.get(instance.zone, 0) + 1
        return by_zone

    async def send(self) -> None:
        """Send the first request that is due."""
        now = trio.current_time()
        due = [request for request in self.open_requests if request.next_at <= now]
        if due:
            await self._send(due[0])

    async def _send(self, request: _OpenRequest) -> None:
        request.tries += 1
        try:
            rented = await self._cloud.rent(RentalRequest(request.name, *request.offer, request.count), self._valid)
        except CloudError as error:
            self._failed(request, error, trio.current_time())
            return
        self._succeeded(request, rented, trio.current_time())

    def _failed(self, request: _OpenRequest, error: CloudError, now: float) -> None:
        if _NO_CAPACITY in str(error) or error.status == _BAD_REQUEST:
            self._back_off(request.offer, now)
            self.open_requests.remove(request)
        elif (request.tries >= constants.SCALE_OUT_TRIES and not error.sent) or request.tries >= _UNKNOWN_OUTCOME_TRIES:
            # If it was carried out after all, the machines show up by their heartbeats and in the machine list.
            self.open_requests.remove(request)
        else:
            request.next_at = now + min(_RETRY_MAX_S, constants.RETRY_S * 2**request.tries)
        _log_request("scale_out_failed", request, reason=error)

    def _succeeded(self, request: _OpenRequest, rented: list[str], now: float) -> None:
        machine_type, zone, spot = request.offer
        self.open_requests.remove(request)
        for name in rented:
            if name not in self._state.cluster.machines:
                self._state.booting[name] = BootingInstance(
                    name, machine_type, zone, spot, now, rented_by_this_process=True
                )
        self._refusals.pop(request.offer, None)
        if len(rented) < request.count:
            self._back_off(request.offer, now)
        _log_request("scaled_out", request, rented_machines=len(rented))

    def _back_off(self, offer: InstanceOffer, now: float) -> None:
        """Not again for a while, longer each time: refused calls use up the cloud's rate all the same."""
        refusals = self._refusals.get(offer, 0)
        self._refusals[offer] = refusals + 1
        self._refused[offer] = now + min(constants.NO_CAPACITY_MAX_S, constants.NO_CAPACITY_S * 2**refusals)


def _log_request(event: str, request: _OpenRequest, **fields: object) -> None:
    machine_type, zone, spot = request.offer
    log_event(
        log,
        logging.INFO,
        event,
        machine_type=machine_type,
        zone=zone,
        spot=spot,
        asked_machines=request.count,
        **fields,
    )
