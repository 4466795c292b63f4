"""Failure detection between three controllers that are slow, partitioned, paused, killed or of the previous version.

Leadership depends on the leased key alone, whatever failure detection finds; each scenario also checks the protocol's
rules."""

from itertools import product

import msgspec
import orjson
import pytest
import trio

from sorrelsill.http import Request
from sorrelsill.membership import MembershipSettings
from sorrelsill.membership.messages import Incarnation, PeerHeartbeat, encode
from sorrelsill.membership.view import Status
from tests.simulation import SimulatedCluster, job, run_scenario, service
from tests.simulation.users import LABELS

SETTINGS = MembershipSettings()
LONGEST_DETECTION_S = 2.0 + SETTINGS.presence_lease_s + 2 * SETTINGS.probe_every_s + SETTINGS.confirm_s


def status_of(simulation: SimulatedCluster, observer: str, label: str) -> Status:
    membership = simulation.controllers[observer].membership
    assert membership is not None
    return membership.view.peers[label].status


def event_counts(simulation: SimulatedCluster, label: str) -> dict[str, int]:
    return simulation.controllers[label].counts


def never_confirmed(simulation: SimulatedCluster) -> bool:
    return not any(event_counts(simulation, label).get("membership_confirmed") for label in simulation.controllers)


async def until_all_alive(simulation: SimulatedCluster) -> None:
    pairs = [(observer, peer) for observer, peer in product(LABELS, LABELS) if observer != peer]
    await simulation.until(
        lambda: all(status_of(simulation, observer, peer) is Status.ALIVE for observer, peer in pairs), 30
    )
    await trio.sleep(10)  # enough heartbeats to estimate the spread of their intervals


def test_dead_controller_is_suspected_then_confirmed_by_all_others() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await until_all_alive(simulation)
        simulation.kill("n2")
        killed_at = trio.current_time()
        await simulation.until(lambda: all(status_of(simulation, o, "n2") is Status.SUSPECTED for o in ("n0", "n1")), 5)
        assert trio.current_time() - killed_at < 4
        both = ("n0", "n1")
        await simulation.until(
            lambda: all(status_of(simulation, o, "n2") is Status.CONFIRMED for o in both), LONGEST_DETECTION_S
        )
        assert trio.current_time() - killed_at > SETTINGS.presence_lease_s - SETTINGS.presence_lease_s / 4
        assert status_of(simulation, "n0", "n1") is status_of(simulation, "n1", "n0") is Status.ALIVE
        simulation.start("n2")
        await until_all_alive(simulation)

    run_scenario(scenario, membership=SETTINGS)


@pytest.mark.parametrize("restarts", [1, 2])
def test_quickly_restarted_controller_is_never_confirmed(restarts: int) -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await until_all_alive(simulation)
        membership = simulation.controllers["n0"].membership
        assert membership is not None
        incarnation_before = membership.view.peers["n2"].incarnation
        for _ in range(restarts):
            simulation.kill("n2")
            await trio.sleep(0.2)
            simulation.start("n2")
        await trio.sleep(2 * LONGEST_DETECTION_S)
        assert membership.view.peers["n2"].incarnation.process > incarnation_before.process
        assert status_of(simulation, "n0", "n2") is status_of(simulation, "n1", "n2") is Status.ALIVE
        assert never_confirmed(simulation)

    run_scenario(scenario, membership=SETTINGS)


@pytest.mark.parametrize("latency_factor", [3, 20])
def test_slow_controller_with_packet_loss_is_never_confirmed(latency_factor: int) -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await until_all_alive(simulation)
        leader = await simulation.until_leader()
        slow = next(label for label in LABELS if label != leader)

        def to_or_from_slow(src: str, dst: str) -> bool:
            return slow in (src.partition(":")[0], dst.partition(":")[0]) and dst.endswith(":peer")

        simulation.net.latency *= latency_factor
        simulation.net.drop_response = lambda src, dst, request: (
            to_or_from_slow(src, dst) and simulation.rng.random() < 0.5
        )
        await trio.sleep(60)
        assert never_confirmed(simulation) and simulation.leader() == leader
        simulation.net.drop_response = lambda src, dst, request: False
        await until_all_alive(simulation)

    run_scenario(scenario, membership=SETTINGS)


@pytest.mark.parametrize("pause_s", [2.0, SETTINGS.confirm_s, 25.0])
def test_resumed_controller_suspects_nobody_and_is_alive(pause_s: float) -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await until_all_alive(simulation)
        leader = await simulation.until_leader()
        paused = next(label for label in LABELS if label != leader)
        simulation.freeze(paused, pause_s)
        await trio.sleep(pause_s + 0.01)
        for _ in range(100):
            assert not event_counts(simulation, paused).get("membership_suspected"), (
                "it was itself paused during the silence"
            )
            await trio.sleep(0.05)
        others = [label for label in LABELS if label != paused]
        await simulation.until(lambda: all(status_of(simulation, o, paused) is Status.ALIVE for o in others), 5)
        confirmed = not never_confirmed(simulation)
        assert confirmed == (pause_s > LONGEST_DETECTION_S)

    run_scenario(scenario, membership=SETTINGS)


ONE_WAY_CUTS = [(a, b) for a in LABELS for b in LABELS if a != b] + [("all", label) for label in LABELS]


@pytest.mark.parametrize(("receiver", "sender"), ONE_WAY_CUTS)
def test_controller_in_a_one_way_partition_is_never_confirmed(receiver: str, sender: str) -> None:
    """If one receiver doesn't hear the sender, an indirect probe through the third controller shows that it is
    alive. If nobody hears it but it still renews its lease in the state service, it is suspected and never
    confirmed."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await until_all_alive(simulation)
        for other in LABELS:
            if other != sender and receiver in (other, "all"):
                # Holds the sender's heartbeats and drops its responses to this controller.
                simulation.net.cut(sender, f"{other}:peer", both=False)
                simulation.net.cut(f"{sender}:peer", other, both=False)
        await trio.sleep(3 * LONGEST_DETECTION_S)
        assert never_confirmed(simulation)
        if receiver != "all":
            membership = simulation.controllers[receiver].membership
            assert membership is not None
            await simulation.until(lambda: status_of(simulation, receiver, sender) is Status.ALIVE, 5)
            assert "through" in membership.view.peers[sender].evidence
        simulation.net.heal()
        await until_all_alive(simulation)

    run_scenario(scenario, membership=SETTINGS)


@pytest.mark.parametrize("unavailable_to", ["all", "one"])
def test_nobody_is_confirmed_during_a_store_outage(unavailable_to: str) -> None:
    """Without a fresh watch cache a missing key proves nothing; during an outage of the store leases don't expire."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await until_all_alive(simulation)
        if unavailable_to == "all":
            simulation.store.begin_outage()
        else:
            simulation.store.unavailable_to.add("n0")
        await trio.sleep(1.0)
        simulation.kill("n2")
        await trio.sleep(2 * LONGEST_DETECTION_S)
        assert status_of(simulation, "n0", "n2") is Status.SUSPECTED
        assert not event_counts(simulation, "n0").get("membership_confirmed")
        simulation.store.end_outage()
        simulation.store.unavailable_to.clear()
        await simulation.until(lambda: status_of(simulation, "n0", "n2") is Status.CONFIRMED, LONGEST_DETECTION_S)

    run_scenario(scenario, membership=SETTINGS)


def test_controller_started_during_a_store_outage_confirms_nobody() -> None:
    """This controller has never read the keys from the store, so a key missing in its cache proves nothing."""

    async def scenario(simulation: SimulatedCluster) -> None:
        await until_all_alive(simulation)
        simulation.store.begin_outage()
        simulation.kill("n0")
        simulation.start("n0")
        await simulation.until(lambda: status_of(simulation, "n0", "n2") is Status.ALIVE, 10)
        for label in LABELS:
            if label != "n2":
                simulation.net.cut("n2", f"{label}:peer")
                simulation.net.cut(label, "n2:peer")
                simulation.net.cut("n2:peer", label)
                simulation.net.cut(f"{label}:peer", "n2")
        await simulation.until(lambda: status_of(simulation, "n0", "n2") is Status.SUSPECTED, 10)
        await trio.sleep(2 * LONGEST_DETECTION_S)
        assert never_confirmed(simulation)

    run_scenario(scenario, membership=SETTINGS)


def test_late_heartbeats_do_not_revive_a_confirmed_controller() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        recorded: list[tuple[str, str, Request]] = []

        def record(src: str, dst: str, request: Request) -> None:
            if request.path.startswith("/membership/") and src == "n2":
                recorded.append((src, dst, request))

        simulation.net.copy_request = record
        await until_all_alive(simulation)
        simulation.kill("n2")
        both = ("n0", "n1")
        for _ in range(int(LONGEST_DETECTION_S)):
            for src, dst, request in recorded[-20:]:
                await simulation.net.deliver_copy(src, dst, request)
            await trio.sleep(1.0)
        assert all(status_of(simulation, observer, "n2") is Status.CONFIRMED for observer in both)
        assert not any(event_counts(simulation, observer).get("membership_cleared") for observer in both)

    run_scenario(scenario, membership=SETTINGS)


def test_controller_of_the_previous_version_counts_as_alive() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        simulation.kill("n2")
        simulation.start("n2", production_version=True)
        await simulation.submit(service("run-s", shards=3))
        await simulation.submit(job("run-a", shards=4))
        await simulation.until_phase("run-a", "done")
        for observer in ("n0", "n1"):
            assert status_of(simulation, observer, "n2") is Status.ALIVE
        await trio.sleep(2 * LONGEST_DETECTION_S)
        assert never_confirmed(simulation)
        assert len(simulation.running("run-s")) == 3
        membership = simulation.controllers["n0"].membership
        assert membership is not None and "version" in membership.view.peers["n2"].evidence

    run_scenario(scenario, membership=SETTINGS)


def test_controller_rolled_back_to_the_previous_version_is_alive_again() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await until_all_alive(simulation)
        simulation.kill("n2")
        await trio.sleep(0.5)
        simulation.start("n2", production_version=True)
        await trio.sleep(30)
        suspicions = event_counts(simulation, "n0").get("membership_suspected", 0)
        await trio.sleep(30)
        assert event_counts(simulation, "n0").get("membership_suspected", 0) == suspicions <= 1
        assert status_of(simulation, "n0", "n2") is Status.ALIVE and never_confirmed(simulation)

    run_scenario(scenario, membership=SETTINGS)


BAD_BODIES = [
    b"",
    b"\xff\x00",
    b"[]",
    b'{"sender": "n1"}',
    orjson.dumps({"cluster": "n0,n1,n2", "sender": "n1", "incarnation": [-1, 0], "sequence": 1}),
    orjson.dumps({"cluster": "n0,n1,n2", "sender": "n1", "incarnation": "x", "sequence": 1}),
    orjson.dumps({"cluster": "n0,n1,n2", "sender": "n9", "incarnation": [1, 0], "sequence": 1}),
    orjson.dumps({"cluster": "other", "sender": "n1", "incarnation": [1 << 40, 0], "sequence": 1}),
]


def test_malformed_foreign_and_stale_messages_change_nothing() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await until_all_alive(simulation)
        controller = simulation.controllers["n0"]
        membership = controller.membership
        assert membership is not None
        for path in ("/membership/heartbeat", "/membership/probe"):
            for body in BAD_BODIES:
                reply = await controller.handle_peer(Request("POST", path, "", body))
                assert reply.status == 400, (path, body)
        assert event_counts(simulation, "n0")["membership_refused"] == 2 * len(BAD_BODIES)
        assert (await controller.handle_peer(Request("GET", "/membership/heartbeat", "", b""))).status == 405
        assert (await controller.handle_peer(Request("POST", "/membership/other", "", b""))).status == 404
        known = membership.view.peers["n1"]
        older_heartbeat = PeerHeartbeat(
            "n0,n1,n2", "n1", Incarnation(known.incarnation.process - 1, 5), known.sequence + 99
        )
        reply = await controller.handle_peer(Request("POST", "/membership/heartbeat", "", encode(older_heartbeat)))
        assert reply.status == 200 and membership.view.peers["n1"].incarnation == known.incarnation

    run_scenario(scenario, membership=SETTINGS)


def test_operators_see_status_and_evidence_of_each_controller() -> None:
    async def scenario(simulation: SimulatedCluster) -> None:
        await until_all_alive(simulation)
        simulation.kill("n2")
        await simulation.until(lambda: status_of(simulation, "n0", "n2") is Status.CONFIRMED, LONGEST_DETECTION_S + 5)
        reply = await simulation.controllers["n0"].handle(Request("GET", "/state", "", b""))
        peers = msgspec.msgpack.decode(reply.body)["peers"]
        assert peers["n1"]["status"] == "alive" and peers["n2"]["status"] == "confirmed"
        assert "lease" in peers["n2"]["evidence"] and peers["n2"]["for_s"] >= 0
        metrics = (await simulation.controllers["n0"].handle(Request("GET", "/metrics", "", b""))).body.decode()
        assert 'sorrelsill_peer{peer="n2",status="confirmed"} 1.0' in metrics

    run_scenario(scenario, membership=SETTINGS)
