"""Scaling out: sends rental requests for the capacity plan and repeats each under the same name until its outcome is
known, so that the cloud carries it out at most once."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import trio

from sorrelsill import constants
from sorrelsill.events import log_event
from sorrelsill.fleet.capacity_plan import plan_capacity
from sorrelsill.fleet.cloud_client import CloudClient
from sorrelsill.fleet.demand import FleetDemand
from sorrelsill.fleet.errors import CloudError
from sorrelsill.fleet.fleet_state import FleetState
from sorrelsill.fleet.instances import BootingInstance, InstanceOffer

log = logging.getLogger(__name__)

_BAD_REQUEST = 400
_NO_CAPACITY_TEXT = "no capacity"  # in the cloud's error text
_UNKNOWN_OUTCOME_TRIES = 3 * constants.SCALE_OUT_TRIES  # tries; limit while the request may have been carried out
_RETRY_MAX_S = 5.0  # s; maximum pause between two tries of a request


class RentalRequest(msgspec.Struct, frozen=True):
    """Body of a rental request. Field names are those of the cloud's wire format."""

    request_name: str = msgspec.field(name="hireRef")
    machine_type: str = msgspec.field(name="flavour")
    zone: str = msgspec.field(name="region")
    spot: bool = msgspec.field(name="reclaimable")
    count: int = msgspec.field(name="howMany")


@dataclass(slots=True)
class _OpenRequest:
    """A rental request whose outcome is not known yet. After a lost answer it is repeated under the same name."""

    name: str
    offer: InstanceOffer
    count: int
    tries: int = 0
    next_try_at: float = 0.0


class ScaleOut:
    """Plans which instances to rent and sends one rental request at a time."""

    def __init__(
        self, state: FleetState, demand: FleetDemand, cloud: CloudClient, leadership_valid: Callable[[], bool]
    ) -> None:
        self._state = state
        self._demand = demand
        self._cloud = cloud
        self._leadership_valid = leadership_valid  # whether this controller still leads
        self.open_requests: list[_OpenRequest] = []
        self._request_counter = 0
        self._last_planned_at = float("-inf")
        self._refused_until: dict[InstanceOffer, float] = {}  # offer -> not requested again before this time
        self._refusal_counts: dict[InstanceOffer, int] = {}  # consecutive ones, by offer

    def expire_refusals(self, now: float) -> None:
        """Forget the refusals whose pause is over, so that these offers may be requested again."""
        self._refused_until = {offer: until for offer, until in self._refused_until.items() if until > now}

    def plan(self, now: float) -> None:
        """Open rental requests for the missing capacity, the largest first.

        Does nothing while requests are open, within the planning interval, and before the first complete machine list
        of the term."""
        if self.open_requests or self._state.lists_read == 0:
            return  # without the list, instances rented by an earlier leader that are still booting are not known
        if now - self._last_planned_at < constants.PLAN_EVERY_S:
            return
        self._last_planned_at = now
        state = self._state
        to_rent = plan_capacity(
            self._demand.demands(now),
            state.expected_instances(now),
            state.cluster.catalog,
            self._refused_until,
            now,
            self._machines_by_zone(),
            state.settings.optimise_latency,
        )
        for offer, count in sorted(to_rent.items(), key=lambda item: -item[1]):
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
        due = [request for request in self.open_requests if request.next_try_at <= now]
        if due:
            await self._send(due[0])

    async def _send(self, request: _OpenRequest) -> None:
        request.tries += 1
        try:
            rented = await self._cloud.rent(
                RentalRequest(request.name, *request.offer, request.count), self._leadership_valid
            )
        except CloudError as error:
            self._on_failure(request, error, trio.current_time())
            return
        self._on_success(request, rented, trio.current_time())

    def _on_failure(self, request: _OpenRequest, error: CloudError, now: float) -> None:
        if _NO_CAPACITY_TEXT in str(error) or error.status == _BAD_REQUEST:
            self._back_off(request.offer, now)
            self.open_requests.remove(request)
        elif (request.tries >= constants.SCALE_OUT_TRIES and not error.sent) or request.tries >= _UNKNOWN_OUTCOME_TRIES:
            # If the request was carried out after all, heartbeats and the machine list show its machines.
            self.open_requests.remove(request)
        else:
            request.next_try_at = now + min(_RETRY_MAX_S, constants.RETRY_PAUSE_S * 2**request.tries)
        _log_request("scale_out_failed", request, reason=error)

    def _on_success(self, request: _OpenRequest, rented: list[str], now: float) -> None:
        machine_type, zone, spot = request.offer
        self.open_requests.remove(request)
        for name in rented:
            if name not in self._state.cluster.machines:
                self._state.booting[name] = BootingInstance(
                    name, machine_type, zone, spot, now, rented_by_this_process=True
                )
        self._refusal_counts.pop(request.offer, None)
        if len(rented) < request.count:
            self._back_off(request.offer, now)
        _log_request("scaled_out", request, rented_machines=len(rented))

    def _back_off(self, offer: InstanceOffer, now: float) -> None:
        """Pause requests for the offer, longer after each refusal: refused calls also count against the rate limit."""
        refusals = self._refusal_counts.get(offer, 0)
        self._refusal_counts[offer] = refusals + 1
        self._refused_until[offer] = now + min(constants.NO_CAPACITY_MAX_S, constants.NO_CAPACITY_S * 2**refusals)


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
