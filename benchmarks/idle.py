"""Memory and processor time of running, idle processes, one for each role."""

import contextlib
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator

import defopt
import psutil

KIB = 1_024
SETTLE_SECONDS = 5.0

_SETTINGS = """\
host = "{role}"
failure_domain = "local"
roles = ["{role}"]
replica_id = "r1"
data_folder = "{folder}/data"
[listen]
http = "127.0.0.1:0"
grpc = "{grpc}"
datagram = "{datagram}"
[[replicas]]
id = "r1"
grpc = "{replica_grpc}"
datagram = "{replica_datagram}"
"""

ROLES = ("replica", "entry", "agent")


def free_address(kind: socket.SocketKind = socket.SOCK_STREAM) -> str:
    """Returns a loopback address that nobody listens on."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def write_settings(folder: pathlib.Path) -> dict[str, pathlib.Path]:
    """Writes the settings of one process for each role."""
    grpc = free_address()
    datagram = free_address(socket.SOCK_DGRAM)
    paths = {}
    for role in ROLES:
        own = role == "replica"
        paths[role] = folder / f"{role}.toml"
        paths[role].write_text(
            _SETTINGS.format(
                role=role,
                folder=folder,
                grpc=grpc if own else "",
                datagram=datagram if own else "",
                replica_grpc=grpc,
                replica_datagram=datagram,
            )
        )
    return paths


@contextlib.contextmanager
def started(path: pathlib.Path) -> Iterator[psutil.Process]:
    """Runs one process; asks it to leave at the end."""
    command = [sys.executable, "-m", "bilberryroute", "run"]
    with path.with_suffix(".log").open("wb") as log:
        process = subprocess.Popen(
            [*command, "--settings", str(path)],
            stderr=log,
            env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
        )
        try:
            yield psutil.Process(process.pid)
        finally:
            process.terminate()
            process.wait()


def cpu_ms(process: psutil.Process) -> float:
    """Returns the processor time spent so far, in milliseconds."""
    times = process.cpu_times()
    return (times.user + times.system) * 1_000


def print_table(*, seconds: int = 20) -> None:
    """Prints one row for each role.

    Args:
      seconds: How long to watch the idle processes.
    """
    print("| role | resident MiB | anonymous MiB | processor % | children |")
    print("| --- | --- | --- | --- | --- |")
    with contextlib.ExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        processes = {
            role: stack.enter_context(started(path))
            for role, path in write_settings(folder).items()
        }
        time.sleep(SETTLE_SECONDS)
        before = {role: cpu_ms(each) for role, each in processes.items()}
        time.sleep(seconds)
        for role, each in processes.items():
            spent = cpu_ms(each) - before[role]
            memory = each.memory_info()
            anonymous = memory.rss - memory.shared
            print(
                f"| {role} | {memory.rss / KIB / KIB:.1f}"
                f" | {anonymous / KIB / KIB:.1f}"
                f" | {spent / seconds / 10:.2f}"
                f" | {len(each.children(recursive=True))} |"
            )


if __name__ == "__main__":
    defopt.run(print_table, cli_options="has_default", no_negated_flags=True)
