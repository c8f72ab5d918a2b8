"""Memory and processor time of the idle processes of a whole system."""

import asyncio
import dataclasses
import pathlib
import tempfile

import defopt
import psutil

from extras import cluster as cluster_lib

MIB = 1_024 * 1_024
SETTLE_SECONDS = 5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reading:
    """What one process holds and has spent so far."""

    resident: int
    anonymous: int
    processor_ms: float
    children: int


def read(process: psutil.Process) -> Reading:
    """Returns a reading of a running process."""
    memory = process.memory_info()
    times = process.cpu_times()
    return Reading(
        resident=memory.rss,
        anonymous=memory.rss - memory.shared,
        processor_ms=(times.user + times.system) * 1_000,
        children=len(process.children(recursive=True)),
    )


async def watch(seconds: int) -> dict[str, tuple[Reading, Reading]]:
    """Returns the first and last reading of each process, by name."""
    with tempfile.TemporaryDirectory() as folder:
        layout = cluster_lib.Layout(workers=0, endpoints=0)
        async with cluster_lib.Cluster(pathlib.Path(folder), layout) as cluster:
            cluster.prepare()
            await cluster.start()
            processes = {
                name: psutil.Process(child.pid)
                for name, child in cluster.children.items()
            }
            await asyncio.sleep(SETTLE_SECONDS)
            leader = await cluster.leader()
            first = {name: read(each) for name, each in processes.items()}
            await asyncio.sleep(seconds)
            last = {name: read(each) for name, each in processes.items()}
            await cluster.stop()
    return {
        f"{name} (leading)"
        if name == leader
        else name: (
            first[name],
            last[name],
        )
        for name in processes
    }


def print_table(*, seconds: int = 20) -> None:
    """Prints one row for each process: r replica, e entry, a agent.

    Args:
      seconds: How long to watch the idle processes.
    """
    print("| process | resident MiB | anonymous MiB | % of a core | children |")
    print("| --- | --- | --- | --- | --- |")
    for name, (first, last) in asyncio.run(watch(seconds)).items():
        spent = last.processor_ms - first.processor_ms
        print(
            f"| {name} | {last.resident / MIB:.1f}"
            f" | {last.anonymous / MIB:.1f}"
            f" | {spent / seconds / 10:.2f} | {last.children} |"
        )


if __name__ == "__main__":
    defopt.run(print_table, cli_options="has_default", no_negated_flags=True)
