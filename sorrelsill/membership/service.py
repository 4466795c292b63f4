"""Failure detection between controllers: heartbeats, probes, and the loop that sets each controller's status."""

from __future__ import annotations

import logging
from collections.abc import Callable

import trio

from sorrelsill import constants
from sorrelsill.controller_state import PeerState
from sorrelsill.events import log_event
from sorrelsill.http import Client, NoAnswerError, NotSentError, Reply, Request
from sorrelsill.membership.arrivals import AwakeClock
from sorrelsill.membership.detector import Detector
from sorrelsill.membership.handover import Handover, HandoverTracker
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

_PREFIX = "/membership/"
_HEARTBEAT = _PREFIX + "heartbeat"
_PROBE = _PREFIX + "probe"
_NOT_FOUND = 404
_LONGEST_REASON = 200  # characters in the log: a refused message may hold anything


class Membership:
    """This controller's view of the others. It informs the election and operators, and decides nothing itself."""

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
        self._clock = AwakeClock(trio.current_time(), settings.heartbeat_s)
        self._detector = Detector(sorted(self._clients), settings)
        self._sequence = 0
        self._refutations = 0
        self._leaving = False
        self._tracker = HandoverTracker(label)
        self._traces = HandoverTraces(label)
        self._probing: set[str] = set()  # one round at a time for each
        self._refusal_logged_at = float("-inf")

    @property
    def view(self) -> MembershipView:
        """The present snapshot."""
        return self._detector.view

    def state(self) -> dict[str, PeerState]:
        """For operators: each other controller's status, since how long, and by what evidence."""
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
        """This controller leads, after `former`."""
        self._tracker.term_began(term, self.view.peers.get(former or ""), trio.current_time())

    def term_ended(self) -> None:
        """It leads no more."""
        self._tracker.term_ended()

    def started(self, at: float) -> None:
        """A task was bound in this term, for the first time then."""
        handover = self._tracker.started(at)
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
        self._traces.record(handover, trio.current_time())

    def handovers(self) -> list[Handover]:
        """The last ones to this controller."""
        return list(self._traces.recent)

    async def leave(self) -> None:
        """Tell all others that this controller stops, and revoke the lease of its presence key."""
        self._leaving = True
        async with trio.open_nursery() as nursery:
            for label in self._clients:
                nursery.start_soon(self._exchange, label)
        await self._presence.release()

    # --- what others ask ---

    async def handle(self, request: Request) -> Reply | None:
        """Answer another controller; None if the path is not ours."""
        if not request.path.startswith(_PREFIX):
            return None
        if request.method != "POST":
            return Reply(405)
        try:
            if request.path == _HEARTBEAT:
                return self._answer_heartbeat(parse(request.body, PeerHeartbeat))
            if request.path == _PROBE:
                return await self._answer_probe(parse(request.body, ProbeRequest))
        except MalformedMessageError as error:
            return self._refuse(str(error))
        return Reply(_NOT_FOUND)

    def _answer_heartbeat(self, message: PeerHeartbeat) -> Reply:
        if not self._knows(message.cluster, message.sender):
            return self._refuse(f"heartbeat of {message.sender!r}, which is no member")
        self._take(message)
        return self._reply(self._own_heartbeat())

    async def _answer_probe(self, request: ProbeRequest) -> Reply:
        if not self._knows(request.cluster, request.sender) or request.target not in self._clients:
            return self._refuse(f"probe of {request.target!r} for {request.sender!r}, which are not both members")
        return self._reply(ProbeAnswer(await self._exchange(request.target)))

    def _knows(self, cluster: str, sender: str) -> bool:
        return cluster == self._cluster and sender in self._clients

    def _refuse(self, reason: str) -> Reply:
        """Answer 400. Each refusal is counted; the log gets one in `REFUSAL_LOG_INTERVAL_S` at the most."""
        self._count_event("membership_refused")
        now = trio.current_time()
        if now - self._refusal_logged_at >= constants.REFUSAL_LOG_INTERVAL_S:
            self._refusal_logged_at = now
            log_event(log, logging.WARNING, "membership_refused", reason=reason[:_LONGEST_REASON])
        return Reply(400, b"{}", content_type="application/json")

    @staticmethod
    def _reply(message: PeerHeartbeat | ProbeAnswer) -> Reply:
        return Reply(200, encode(message), content_type="application/json")

    # --- what we send ---

    def _own_heartbeat(self) -> PeerHeartbeat:
        self._sequence += 1
        suspects = {p.label: p.incarnation for p in self.view.peers.values() if p.status is Status.SUSPECTED}
        incarnation = Incarnation(self._presence.process, self._refutations)
        return PeerHeartbeat(self._cluster, self._label, incarnation, self._sequence, suspects, self._leaving)

    def _take(self, message: PeerHeartbeat, through: str | None = None) -> bool:
        """Take in a heartbeat, directly or by a probe `through` another controller. If its sender suspects us,
        the next heartbeat refutes that."""
        suspected = message.suspects.get(self._label)
        if suspected is not None and suspected >= Incarnation(self._presence.process, self._refutations):
            self._refutations += 1
            self._count_event("membership_refuted")
        now = trio.current_time()
        before = self.view.peers[message.sender].status
        taken = self._detector.heard(message, now, self._clock.awake(now), through)
        if taken and before in (Status.SUSPECTED, Status.CONFIRMED):
            self._count_event("membership_cleared")
            evidence = self.view.peers[message.sender].evidence
            log_event(log, logging.INFO, "membership_cleared", peer=message.sender, evidence=evidence)
        return taken

    async def _exchange(self, label: str) -> PeerHeartbeat | None:
        """Send our heartbeat and take in the one it is answered with; None if there is none."""
        try:
            status, raw = await self._clients[label].request(
                "POST", _HEARTBEAT, encode(self._own_heartbeat()), self._settings.probe_timeout_s
            )
            if status == _NOT_FOUND:
                self._detector.former_version(label, trio.current_time())
            answer = parse(raw, PeerHeartbeat) if status == 200 else None
        except (NotSentError, NoAnswerError, MalformedMessageError) as error:
            log_event(log, logging.DEBUG, "heartbeat_not_answered", peer=label, reason=str(error))
            return None
        if answer is None or answer.sender != label or answer.cluster != self._cluster:
            return None
        self._take(answer)
        return answer

    async def _probe_through(self, helper: str, target: str) -> bool:
        """Probe the target through another controller; True if the target answered it."""
        probe = ProbeRequest(self._cluster, self._label, target)
        try:
            status, raw = await self._clients[helper].request(
                "POST", _PROBE, encode(probe), 2 * self._settings.probe_timeout_s
            )
            answer = parse(raw, ProbeAnswer) if status == 200 else ProbeAnswer()
        except (NotSentError, NoAnswerError, MalformedMessageError) as error:
            log_event(log, logging.DEBUG, "probe_not_answered", peer=target, through=helper, reason=str(error))
            return False
        heard = answer.heard
        if heard is None or heard.sender != target or heard.cluster != self._cluster:
            return False
        return self._take(heard, helper)

    # --- loops ---

    async def run(self) -> None:
        """Send heartbeats, probe silent controllers and update their statuses until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._presence.run)
            for label in self._clients:
                nursery.start_soon(self._send_heartbeats, label)
            nursery.start_soon(self._judge_for_ever, nursery)

    async def _send_heartbeats(self, label: str) -> None:
        while True:
            begun_at = trio.current_time()
            await self._exchange(label)
            await trio.sleep_until(max(begun_at + self._settings.heartbeat_s, trio.current_time()))

    async def _judge_for_ever(self, nursery: trio.Nursery) -> None:
        probed_at = float("-inf")
        while True:
            await trio.sleep(self._settings.heartbeat_s)
            now = trio.current_time()
            self._clock.tick(now)
            self._judge(now)
            if now - probed_at >= self._settings.probe_every_s:
                probed_at = now
                for label in self._detector.to_probe():
                    if label not in self._probing:
                        self._probing.add(label)
                        nursery.start_soon(self._probe_round, label)

    def _judge(self, now: float) -> None:
        presences = {label: self._presence.of(label, now) for label in self._clients}
        for peer in self._detector.judge(presences, now, self._clock.awake(now)):
            self._record_judgement(peer)

    def _record_judgement(self, peer: Peer) -> None:
        event = f"membership_{peer.status.value}"
        self._count_event(event)
        log_event(log, logging.INFO, event, peer=peer.label, evidence=peer.evidence)

    async def _probe_round(self, label: str) -> None:
        """Probe a silent controller: directly first, then through all others that are alive, concurrently."""
        begun_at = trio.current_time()
        try:
            if await self._exchange(label) is not None:
                return
            found = False

            async def probe_through(helper: str) -> None:
                nonlocal found
                found |= await self._probe_through(helper, label)

            async with trio.open_nursery() as nursery:
                for helper in self.view.alive():
                    if helper != label:
                        nursery.start_soon(probe_through, helper)
            if not found:
                self._detector.round_failed(label, begun_at)
        finally:
            self._probing.discard(label)
