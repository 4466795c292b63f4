"""The failure detection service of a controller: sends heartbeats and probes and updates the status of its peers."""

from __future__ import annotations

import logging
from collections.abc import Callable

import trio

from sorrelsill import constants
from sorrelsill.controller_state import PeerState
from sorrelsill.events import log_event
from sorrelsill.http import Client, NoAnswerError, NotSentError, Reply, Request
from sorrelsill.membership.detector import Detector
from sorrelsill.membership.handover import Handover, HandoverTracker
from sorrelsill.membership.heartbeat_intervals import PauseAwareClock
from sorrelsill.membership.messages import (
    Incarnation,
    MalformedMessageError,
    PeerHeartbeat,
    ProbeAnswer,
    ProbeRequest,
    encode,
    parse,
)
from sorrelsill.membership.presence import PresenceKeeper
from sorrelsill.membership.settings import MembershipSettings
from sorrelsill.membership.tracing import HandoverTraces
from sorrelsill.membership.view import MembershipView, Peer, Status
from sorrelsill.settings import Member

log = logging.getLogger(__name__)

_PATH_PREFIX = "/membership/"
_HEARTBEAT_PATH = _PATH_PREFIX + "heartbeat"
_PROBE_PATH = _PATH_PREFIX + "probe"
_NOT_FOUND = 404
_MAX_LOGGED_REASON = 200  # characters in the log; a refused message may contain arbitrary text


class Membership:
    """This controller's view of the others, for operators and for the controller, and the record of handovers.

    It takes no decisions itself. The election uses the view only through the controller's check for other candidates:
    while a controller other than the former leader is alive, the controller directly before the former leader in
    the workers' order waits ACQUIRE_DEFER_S before it tries to acquire the leader key."""

    def __init__(
        self,
        label: str,
        members: list[Member],
        settings: MembershipSettings,
        make_client: Callable[[str], Client],
        presence: PresenceKeeper,
        count_event: Callable[[str], None],
    ) -> None:
        self._label = label
        self._cluster = ",".join(sorted([label, *(member.label for member in members)]))
        self._settings = settings
        self._clients = {member.label: make_client(member.addr) for member in members}
        self._presence = presence
        self._count_event = count_event
        self._clock = PauseAwareClock(trio.current_time(), settings.heartbeat_s)
        self._detector = Detector(sorted(self._clients), settings)
        self._sequence = 0
        self._refutations = 0
        self._leaving = False
        self._handover_tracker = HandoverTracker(label)
        self._handover_traces = HandoverTraces(label)
        self._probing: set[str] = set()  # controllers with a probe round in progress; at most one round each
        self._refusal_logged_at = float("-inf")

    @property
    def view(self) -> MembershipView:
        """The current snapshot."""
        return self._detector.view

    def state(self) -> dict[str, PeerState]:
        """For operators: the status of each other controller, for how long it has had it, and the evidence for it."""
        now = trio.current_time()
        return {
            label: PeerState(
                status=peer.status.value,
                for_s=round(now - peer.since, 1) if peer.since > float("-inf") else None,
                evidence=peer.evidence,
            )
            for label, peer in sorted(self.view.peers.items())
        }

    # --- handover ---

    def term_began(self, term: int, former: str | None) -> None:
        """Record that this controller leads; `former` is the label of the previous leader."""
        self._handover_tracker.term_began(term, self.view.peers.get(former or ""), trio.current_time())

    def term_ended(self) -> None:
        """Record that this controller no longer leads."""
        self._handover_tracker.term_ended()

    def first_task_started(self, at: float) -> None:
        """Record that the first task of this term was bound at `at`. Later calls in the same term have no effect."""
        handover = self._handover_tracker.first_task_started(at)
        if handover is None:
            return
        log_event(
            log,
            logging.INFO,
            "handover",
            term=handover.term,
            former=handover.former,
            planned=handover.planned,
            **{f"{name.replace(' ', '_')}_after_s": at - handover.begun_at for name, at in handover.steps()},
        )
        self._handover_traces.record(handover, trio.current_time())

    def handovers(self) -> list[Handover]:
        """The most recent handovers to this controller."""
        return list(self._handover_traces.recent)

    async def leave(self) -> None:
        """Announce the shutdown to all other controllers and revoke the lease of the presence key."""
        self._leaving = True
        async with trio.open_nursery() as nursery:
            for label in self._clients:
                nursery.start_soon(self._exchange_heartbeats, label)
        await self._presence.release()

    # --- requests from other controllers ---

    async def handle(self, request: Request) -> Reply | None:
        """Answer a request of another controller; None if the path does not belong to failure detection."""
        if not request.path.startswith(_PATH_PREFIX):
            return None
        if request.method != "POST":
            return Reply(405)
        try:
            if request.path == _HEARTBEAT_PATH:
                return self._answer_heartbeat(parse(request.body, PeerHeartbeat))
            if request.path == _PROBE_PATH:
                return await self._answer_probe(parse(request.body, ProbeRequest))
        except MalformedMessageError as error:
            return self._refuse(str(error))
        return Reply(_NOT_FOUND)

    def _answer_heartbeat(self, message: PeerHeartbeat) -> Reply:
        if not self._is_member(message.cluster, message.sender):
            return self._refuse(f"heartbeat from {message.sender!r}, which is not a member")
        self._process_heartbeat(message)
        return self._reply(self._own_heartbeat())

    async def _answer_probe(self, request: ProbeRequest) -> Reply:
        if not self._is_member(request.cluster, request.sender) or request.target not in self._clients:
            return self._refuse(
                f"probe of {request.target!r} requested by {request.sender!r}, which are not both members"
            )
        return self._reply(ProbeAnswer(await self._exchange_heartbeats(request.target)))

    def _is_member(self, cluster: str, sender: str) -> bool:
        return cluster == self._cluster and sender in self._clients

    def _refuse(self, reason: str) -> Reply:
        """Answer 400. Each refusal is counted; at most one per `REFUSAL_LOG_INTERVAL_S` is logged."""
        self._count_event("membership_refused")
        now = trio.current_time()
        if now - self._refusal_logged_at >= constants.REFUSAL_LOG_INTERVAL_S:
            self._refusal_logged_at = now
            log_event(log, logging.WARNING, "membership_refused", reason=reason[:_MAX_LOGGED_REASON])
        return Reply(400, b"{}", content_type="application/json")

    @staticmethod
    def _reply(message: PeerHeartbeat | ProbeAnswer) -> Reply:
        return Reply(200, encode(message), content_type="application/json")

    # --- requests to other controllers ---

    def _own_heartbeat(self) -> PeerHeartbeat:
        self._sequence += 1
        suspects = {p.label: p.incarnation for p in self.view.peers.values() if p.status is Status.SUSPECTED}
        incarnation = Incarnation(self._presence.process, self._refutations)
        return PeerHeartbeat(self._cluster, self._label, incarnation, self._sequence, suspects, self._leaving)

    def _process_heartbeat(self, message: PeerHeartbeat, through: str | None = None) -> bool:
        """Process a heartbeat that came directly or, by an indirect probe, `through` another controller.

        If the sender suspects this controller, the next heartbeat that this controller sends refutes the suspicion.
        Returns False if the processed heartbeat is not new."""
        suspected = message.suspects.get(self._label)
        if suspected is not None and suspected >= Incarnation(self._presence.process, self._refutations):
            self._refutations += 1
            self._count_event("membership_refuted")
        now = trio.current_time()
        former_status = self.view.peers[message.sender].status
        is_new = self._detector.record_heartbeat(message, now, self._clock.unpaused_time(now), through)
        if is_new and former_status in (Status.SUSPECTED, Status.CONFIRMED):
            self._count_event("membership_cleared")
            evidence = self.view.peers[message.sender].evidence
            log_event(log, logging.INFO, "membership_cleared", peer=message.sender, evidence=evidence)
        return is_new

    async def _exchange_heartbeats(self, label: str) -> PeerHeartbeat | None:
        """Send a heartbeat and process the heartbeat in the answer. Returns the latter; None without a valid answer."""
        try:
            status, body = await self._clients[label].request(
                "POST", _HEARTBEAT_PATH, encode(self._own_heartbeat()), self._settings.probe_timeout_s
            )
            if status == _NOT_FOUND:
                self._detector.mark_without_heartbeats(label, trio.current_time())
            answer = parse(body, PeerHeartbeat) if status == 200 else None
        except (NotSentError, NoAnswerError, MalformedMessageError) as error:
            log_event(log, logging.DEBUG, "heartbeat_not_answered", peer=label, reason=str(error))
            return None
        if answer is None or answer.sender != label or answer.cluster != self._cluster:
            return None
        self._process_heartbeat(answer)
        return answer

    async def _probe_indirectly(self, relay: str, target: str) -> bool:
        """Probe the target through another controller. True if the target answered with a new heartbeat."""
        probe = ProbeRequest(self._cluster, self._label, target)
        try:
            status, body = await self._clients[relay].request(
                "POST", _PROBE_PATH, encode(probe), 2 * self._settings.probe_timeout_s
            )
            answer = parse(body, ProbeAnswer) if status == 200 else ProbeAnswer()
        except (NotSentError, NoAnswerError, MalformedMessageError) as error:
            log_event(log, logging.DEBUG, "probe_not_answered", peer=target, through=relay, reason=str(error))
            return False
        heard = answer.heard
        if heard is None or heard.sender != target or heard.cluster != self._cluster:
            return False
        return self._process_heartbeat(heard, relay)

    # --- loops ---

    async def run(self) -> None:
        """Send heartbeats, probe silent controllers and update statuses until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._presence.run)
            for label in self._clients:
                nursery.start_soon(self._send_heartbeats, label)
            nursery.start_soon(self._run_failure_detection, nursery)

    async def _send_heartbeats(self, label: str) -> None:
        while True:
            begun_at = trio.current_time()
            await self._exchange_heartbeats(label)
            await trio.sleep_until(max(begun_at + self._settings.heartbeat_s, trio.current_time()))

    async def _run_failure_detection(self, nursery: trio.Nursery) -> None:
        probed_at = float("-inf")
        while True:
            await trio.sleep(self._settings.heartbeat_s)
            now = trio.current_time()
            self._clock.tick(now)
            self._update_statuses(now)
            if now - probed_at >= self._settings.probe_every_s:
                probed_at = now
                for label in self._detector.peers_to_probe():
                    if label not in self._probing:
                        self._probing.add(label)
                        nursery.start_soon(self._probe_round, label)

    def _update_statuses(self, now: float) -> None:
        presences = {label: self._presence.presence_of(label, now) for label in self._clients}
        for peer in self._detector.update_statuses(presences, now, self._clock.unpaused_time(now)):
            self._record_status_change(peer)

    def _record_status_change(self, peer: Peer) -> None:
        event = f"membership_{peer.status.value}"
        self._count_event(event)
        log_event(log, logging.INFO, event, peer=peer.label, evidence=peer.evidence)

    async def _probe_round(self, label: str) -> None:
        """Probe a silent controller: first directly, then through all others that are alive, concurrently."""
        begun_at = trio.current_time()
        try:
            if await self._exchange_heartbeats(label) is not None:
                return
            answered = False

            async def probe_indirectly(relay: str) -> None:
                nonlocal answered
                answered |= await self._probe_indirectly(relay, label)

            async with trio.open_nursery() as nursery:
                for relay in self.view.alive_labels():
                    if relay != label:
                        nursery.start_soon(probe_indirectly, relay)
            if not answered:
                self._detector.record_failed_probe_round(label, begun_at)
        finally:
            self._probing.discard(label)
