"""A direct start that is held up in the network begins its task after the job's cancellation, in an outage."""

from __future__ import annotations

from pathlib import Path

import trio

from review.standins import LABELS, CannotRunError, Deployment, job, main

HELD_BEYOND_CANCEL_S = 3.0  # s; how much longer than `cancel_s` the start is held


async def case(d: Deployment, trouble: bool) -> bool:
    """Return whether no task of the cancelled job started or ran later than `cancel_s` after its user was told."""
    # An ordinary job first: the machine fetches the image, and the leader has a connection to the machine.
    other = next(label for label in LABELS if label != d.leader())
    await d.submit(job("run-000001"), other)
    await d.until(lambda: "run-000001/0" in d.done, 20.0, "the first job was not done")
    leader = d.leader()
    if leader is None:
        raise CannotRunError("no leader")
    other = next(label for label in LABELS if label != leader)
    (machine,) = [w for w in d.workers.values() if w.images]

    if trouble:
        d.record.write("cut", between=f"{leader} and {machine.name}")
        machine.commands.cut()
        machine.reports[leader].cut()
    await d.submit(job("run-000002", expectedRunS=60.0), other)
    if trouble:
        await d.until(lambda: any(b"run-000002" in data for data in machine.commands.held), 2.0, "no start was held")
        d.record.write("start_held")
    else:
        await d.until(lambda: any(task == "run-000002/0" for _, task, _ in d.starts), 10.0, "the job did not start")
    status, answer = await d.ask(other, "POST", "/v2/runs/run-000002/cancel")
    if status != 200 or answer["phase"] != "cancelled":
        raise CannotRunError(f"the cancellation gets {status}")
    told_at = d.record.now()
    if trouble:
        d.record.write("outage_begins")
        d.store.begin_outage()
    await trio.sleep(d.cancel_s + HELD_BEYOND_CANCEL_S)
    if trouble:
        d.record.write("cut_ends", after_the_answer_s=round(d.record.now() - told_at, 1))
        machine.commands.heal()
        machine.reports[leader].heal()
        await trio.sleep(5.0)
        d.record.write("outage_ends")
        d.store.end_outage()
    await trio.sleep(5.0)
    return _held(d, told_at)


def _held(d: Deployment, told_at: float) -> bool:
    held = True
    for at, task, machine in d.starts:
        if task == "run-000002/0" and at > told_at + d.cancel_s:
            d.record.write("ran_cancelled", task=task, machine=machine, after_the_answer_s=round(at - told_at, 2))
            held = False
    ended = {(task, machine): at for at, task, machine, _ in d.ends}
    for at, task, machine in d.starts:
        end = ended.get((task, machine), d.record.now())
        if task == "run-000002/0" and at <= told_at + d.cancel_s < end:
            d.record.write("ran_cancelled", task=task, machine=machine, until_s=round(end - told_at, 2))
            held = False
    return held


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, case, machines=2)
