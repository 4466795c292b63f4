"""A small simulated deployment: three controllers, key-value store, cloud, workers and users, and failures of each."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

import msgspec
import trio
import trio.testing

from sorrelsill.controller import Controller
from sorrelsill.http import Reply, Request
from sorrelsill.membership import MembershipSettings
from sorrelsill.settings import (
    CloudLimits,
    Member,
    NextLimits,
    OperatorOverrides,
    PlatformSettings,
    Services,
    Settings,
    StateLimits,
    Team,
    Workers,
)
from sorrelsill.workers import ClusterState
from tests.simulation import production
from tests.simulation.cloud import FakeCloud
from tests.simulation.freeze import Gate, GatedTasks
from tests.simulation.rules import CANCEL_S, GANG_PEER_S, GANG_WAIT_S, HEARTBEAT_S, LEASE_S
from tests.simulation.users import LABELS, SimulatedUsers
from tests.simulation.worker import FakeWorker

_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.decode


class SimulatedCluster(SimulatedUsers):
    def __init__(
        self,
        nursery: trio.Nursery,
        seed: int,
        teams: list[Team],
        txn_ops: int = 16,
        next_limits: NextLimits | None = None,
        production_version: bool = False,
        gated_tasks: GatedTasks | None = None,
        membership: MembershipSettings | None = None,
    ) -> None:
        self._membership = membership  # enables failure detection between the controllers; None disables it
        super().__init__(nursery, seed, teams, txn_ops)
        self.next_limits = next_limits
        self._gated_tasks = gated_tasks or GatedTasks()
        self._gates: dict[str, Gate] = {}
        self.request_cost_s = 0.0  # processor time that a controller spends on each user request
        self._processors: dict[str, trio.Lock] = {}
        self.allowed_refusals = 0  # how many transactions the store may refuse as too large in this scenario
        self.value_kb, self.txn_ops = self.store.value_kb, txn_ops  # limits in the controllers' settings
        self.cloud = FakeCloud(self._boot)
        self.cloud.on_return = self.kill_machine
        self._scopes: dict[str, trio.CancelScope] = {}
        self.booted_machines: set[str] = set()
        self.on_boot: Callable[[str], None] = lambda name: None
        self.net.handlers["store"] = self.store.handle
        self.net.handlers["cloud"] = self.cloud.handle
        nursery.start_soon(self.store.run)
        nursery.start_soon(self.cloud.run)
        nursery.start_soon(self._check_periodically)
        for label in LABELS:
            self.start(label, production_version)

    # --- controllers ---

    def start(self, label: str, production_version: bool = False) -> Controller:
        """Start a new controller process, of this version or of the one in production."""
        members = [Member(o, f"{o}:peer") for o in LABELS if o != label]
        platform = PlatformSettings(
            workers=Workers(HEARTBEAT_S, LEASE_S, CANCEL_S, GANG_WAIT_S, GANG_PEER_S),
            state=StateLimits(500.0, 200.0, self.value_kb, self.txn_ops, self.next_limits),
            cloud=CloudLimits(5.0, 2.0),
            nodes=len(LABELS),
            teams=self.teams,
        )
        settings = Settings(label, label, Services("cloud", "store"), platform, members=members)
        rng = random.Random(self.rng.random())
        if production_version:
            controller: Controller = production.make_controller(settings, rng, self.net, label, trio.current_time)
        else:
            client = self.net.client(label)
            controller = Controller(settings, OperatorOverrides(), rng, client, trio.current_time, self._membership)

        gate = self._gates[label] = Gate()
        self._processors[label] = trio.Lock()

        async def handle_user_request(src: str, request: Request) -> Reply:
            await self._use_processor(label)
            reply: Reply = await gate.under(controller.handle, request)
            return reply

        async def handle_peer_request(src: str, request: Request) -> Reply:
            reply: Reply = await gate.under(controller.handle_peer, request)
            return reply

        self.controllers[label] = controller
        self.net.handlers[label], self.net.handlers[f"{label}:peer"] = handle_user_request, handle_peer_request
        self.net.down -= {label, f"{label}:peer"}
        scope = self._scopes[label] = trio.CancelScope()

        async def run() -> None:
            self._gated_tasks.gate_current_task(gate)
            with scope:
                await gate.under(controller.run)

        self.nursery.start_soon(run)
        return controller

    async def _use_processor(self, label: str) -> None:
        """Occupy the controller's only processor for one request; the controller does nothing else meanwhile."""
        if not self.request_cost_s:
            return
        gate = self._gates[label]
        async with self._processors[label]:
            gate.freeze()
            await trio.sleep(self.request_cost_s)
            gate.thaw()

    def freeze(self, label: str, for_s: float) -> None:
        """Freeze the whole controller for some seconds; clocks and everything else keep running."""
        gate = self._gates[label]
        gate.freeze()

        async def thaw_later() -> None:
            await trio.sleep(for_s)
            gate.thaw()

        self.nursery.start_soon(thaw_later)

    def frozen(self, label: str) -> bool:
        """Return whether the controller is frozen."""
        return self._gates[label].frozen

    async def stop(self, label: str) -> None:
        """Stop a controller as planned: it hands over its leadership, then its process ends."""
        await self._gates[label].under(self.controllers[label].drain)
        self.kill(label)

    def kill(self, label: str) -> None:
        """End a controller's process abruptly."""
        self._scopes[label].cancel()
        self._gates[label].thaw()
        self.net.down |= {label, f"{label}:peer"}

    def kill_all(self) -> None:
        """End every controller's process at the same moment."""
        for label in LABELS:
            self.kill(label)

    def start_all(self) -> None:
        """Start a new process for every controller, in the order of their labels."""
        for label in LABELS:
            self.start(label)

    async def restart_later(self, label: str, delay_s: float) -> None:
        """Restart a killed controller after this time, unless it has been started meanwhile."""
        await trio.sleep(delay_s)
        if label in self.net.down:
            self.start(label)

    def cluster_state(self, label: str) -> ClusterState:
        """Return the cluster state of the leader with this label."""
        cluster = self.controllers[label].cluster
        assert cluster is not None
        return cluster

    def leader(self) -> str | None:
        leading = [
            label
            for label, controller in self.controllers.items()
            if label not in self.net.down and controller.elector.valid()
        ]
        return leading[0] if leading else None

    async def until_leader(self, timeout_s: float = 30.0) -> str:
        await self.until(lambda: self.leader() is not None, timeout_s)
        label = self.leader()
        assert label is not None
        return label

    # --- machines ---

    def _boot(self, name: str, machine_type: str, zone: str, spot: bool) -> None:
        worker = FakeWorker(
            name,
            machine_type,
            zone,
            spot,
            {label: label for label in LABELS},
            self.net.client(name),
            HEARTBEAT_S,
            LEASE_S,
            self.specs,
            self._on_task_change,
            self.gangs,
        )
        worker.on_done = self.finished.add
        self.workers[name] = worker
        self.booted_machines.add(name)
        self.on_boot(name)
        self.net.handlers[name] = worker.handle
        self.nursery.start_soon(worker.run)
        self.nursery.start_soon(worker.run_tasks)

    def kill_machine(self, name: str) -> None:
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.dead = True
            for task_id in list(worker.active_tasks):
                worker._set_active(task_id, False)
            self.net.down.add(name)

    async def restart_machine(self, name: str, down_s: float) -> FakeWorker:
        """End a machine with all that is on it, and start it again after some seconds. Its new worker keeps name and
        address and remembers nothing: it has no task and no fencing token, and begins with its first incarnation."""
        before = self.workers[name]
        self.kill_machine(name)
        await trio.sleep(down_s)
        self.net.down.discard(name)
        self._boot(name, before.machine_type, before.zone, before.spot)
        return self.workers[name]

    def cut_machine(self, name: str) -> None:
        for label in LABELS:
            self.net.cut(name, label)

    def drop_inbound(self, name: str) -> None:
        """Deliver the machine's heartbeats, but lose the responses and all commands sent to it."""
        for label in LABELS:
            self.net.cut(label, name, both=False)

    def refuse_outbound(self, name: str) -> None:
        """Refuse the machine's connections to all controllers; commands still reach it and are answered."""
        self.net.refused |= {(name, label) for label in LABELS}

    def hang(self, name: str) -> None:
        """Suspend the worker; if its lease has run out when it resumes, it has lost its tasks."""
        self.workers[name].hung = True

    # --- late, duplicated and lost messages ---

    def late_writes(self, share: float, at_once: bool = False) -> None:
        """Drop the responses to this share of transactions, and apply these at once or, by default, 2 to 12 s late,
        after newer ones."""

        def late_delivery_s(src: str, dst: str, request: Request) -> float | None:
            if request.path != "/multi" or self.rng.random() >= share:
                return None
            return 0.0 if at_once else self.rng.uniform(2.0, 12.0)

        self.net.late_delivery_s = late_delivery_s

    def late_heartbeat_copies(self, share: float, at_next_leader: bool = False) -> None:
        """Deliver a copy of this share of heartbeats to every controller: 2 s to two leases later, or as soon as the
        next leader's term begins."""

        async def deliver(src: str, request: Request) -> None:
            if at_next_leader:
                terms_before = len(self.leader_terms)
                while len(self.leader_terms) == terms_before:
                    await trio.sleep(0.05)
            else:
                await trio.sleep(self.rng.uniform(2.0, 2.0 * LEASE_S))
            for label in LABELS:
                await self.net.deliver_copy(src, label, request)

        def copy_request(src: str, dst: str, request: Request) -> None:
            if request.path == "/hello" and self.rng.random() < share:
                self.nursery.start_soon(deliver, src, request)

        self.net.copy_request = copy_request

    async def wait_for_convergence(self) -> None:
        """End all failures, then check that users get an answer about every job within 75 s, and that every job that
        was accepted and not cancelled runs or completes. The fleet must have room for all of them."""
        self.net.late_delivery_s = lambda src, dst, request: None
        self.net.copy_request = lambda src, dst, request: None
        self.net.drop_response = lambda src, dst, request: False
        self.net.hold_request = lambda src, dst, request: False
        self.net.refused.clear()
        self.net.heal()
        self.store.end_outage()
        self.store.unavailable_to.clear()
        for worker in self.workers.values():
            worker.hung = False
        for label in LABELS:
            if label in self.net.down:
                self.start(label)
        began = trio.current_time()
        for job_id in sorted(self.accepted):
            while (await self.poll(job_id))[0] != 200:
                assert trio.current_time() < began + 75, f"no answer about {job_id}"
        wanted = [job_id for job_id in sorted(self.accepted) if job_id not in self.cancelled_at]
        for job_id in wanted:
            spec = self.specs[job_id]
            if spec["shape"] == "standing":
                await self.until(lambda u=job_id, n=spec["shards"]: len(self.running(u)) == n, 90)  # type: ignore[misc]
            else:
                await self.until_phase(job_id, "done", 90 + spec["expectedRunS"] * spec["shards"])
        await trio.sleep(1)


def run_scenario(
    scenario: Callable[[SimulatedCluster], Awaitable[None]],
    seed: int = 1,
    teams: list[Team] | None = None,
    txn_ops: int = 16,
    next_limits: NextLimits | None = None,
    production_version: bool = False,
    membership: MembershipSettings | None = None,
) -> SimulatedCluster:
    """Run a scenario on a virtual clock, then check that it violated no rule of the protocol."""
    simulations: list[SimulatedCluster] = []
    gated_tasks = GatedTasks()

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            simulation = SimulatedCluster(
                nursery,
                seed,
                teams or [Team("red"), Team("blue")],
                txn_ops,
                next_limits,
                production_version,
                gated_tasks,
                membership,
            )
            simulations.append(simulation)
            await scenario(simulation)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0), instruments=[gated_tasks])
    assert not simulations[0].violations, simulations[0].violations
    assert len(simulations[0].store.refusals) <= simulations[0].allowed_refusals, simulations[0].store.refusals
    return simulations[0]
