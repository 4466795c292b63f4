"""Workers' reports as they come over the wire."""

from __future__ import annotations

from typing import Any

import msgspec

PEERS, ALONE = "peers", "alone"  # why a group's task exited: another one is gone, or the group was never complete


class BadReport(Exception):
    pass


class ShardReport(msgspec.Struct):
    shard: str
    tryNo: int
    phase: str
    exitCause: str | None = None
    saved: bool | None = None

    def split(self) -> tuple[str, int]:
        """Job and task number; ValueError if it is no task's name. Asked only for attempts not known yet, since
        a report names the same tasks again and again."""
        uid, slash, index = self.shard.rpartition("/")
        if not slash or not index.isdecimal():
            raise ValueError(f"not a task: {self.shard[:80]!r}")
        return uid, int(index)


class Report(msgspec.Struct):
    host: str
    tenure: int
    serial: int
    flavour: str = ""
    region: str = ""
    addr: str = ""
    reclaimable: bool = False
    epoch: int = 0
    evictInS: float | None = None
    shards: list[ShardReport] = []


_decoder = msgspec.msgpack.Decoder(Report)


def parse_report(body: bytes) -> Report:
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, ValueError) as error:
        raise BadReport(str(error)) from None


def start(shard: str, try_no: int) -> dict[str, Any]:
    return {"verb": "start", "shard": shard, "tryNo": try_no}


def halt(shard: str, try_no: int, wind_down_s: float) -> dict[str, Any]:
    return {"verb": "halt", "shard": shard, "tryNo": try_no, "windDownS": wind_down_s}


def clear(shard: str, try_no: int) -> dict[str, Any]:
    return {"verb": "clear", "shard": shard, "tryNo": try_no}
