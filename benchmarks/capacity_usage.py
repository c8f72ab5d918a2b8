"""Processor time, memory and bytes moved by the processes of a cluster."""

import asyncio
import collections
import dataclasses
import re

import psutil

from benchmarks import capacity_model as model
from benchmarks import idle
from extras import cluster as cluster_lib

_PID = re.compile(r"pid=(\d+)")
_BYTES = re.compile(r"bytes_(?:sent|received):(\d+)")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """What one process spent in some seconds, and holds at their end.

    Attributes:
      processor_ms: Processor time.
      memory_mb: Resident memory.
      anonymous_mb: Resident memory that is no mapped file.
      tcp_bytes: Payload of its TCP connections, both directions.
    """

    processor_ms: float
    memory_mb: float
    anonymous_mb: float
    tcp_bytes: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Mark:
    """Readings of all processes at one instant."""

    readings: dict[str, idle.Reading]
    tcp_bytes: dict[str, int]


async def mark(cluster: cluster_lib.Cluster) -> Mark:
    """Returns readings of all processes of a cluster."""
    pids = {name: child.pid for name, child in cluster.children.items()}
    moved = await _tcp_bytes()
    return Mark(
        readings={n: idle.read(psutil.Process(p)) for n, p in pids.items()},
        tcp_bytes={name: moved[pid] for name, pid in pids.items()},
    )


def between(first: Mark, last: Mark) -> dict[str, Usage]:
    """Returns what each process spent between two marks."""
    return {
        name: Usage(
            processor_ms=after.processor_ms - first.readings[name].processor_ms,
            memory_mb=after.resident / model.MB,
            anonymous_mb=after.anonymous / model.MB,
            tcp_bytes=last.tcp_bytes[name] - first.tcp_bytes[name],
        )
        for name, after in last.readings.items()
    }


async def _tcp_bytes() -> collections.Counter[int]:
    """Returns payload bytes of open TCP connections by process id."""
    process = await asyncio.create_subprocess_exec(
        "ss", "-tinpHO", stdout=asyncio.subprocess.PIPE
    )
    output, _ = await process.communicate()
    moved: collections.Counter[int] = collections.Counter()
    for line in output.decode().splitlines():
        pid = _PID.search(line)
        if pid is not None:
            moved[int(pid[1])] += sum(map(int, _BYTES.findall(line)))
    return moved
