"""A task runs twice at once if its runner leaves the agent without answers."""

import asyncio
import json
import pathlib
import random
import signal
import time

from review.standins import deployment as deployment_lib

NEED = {"cpu": 2_800, "memRequestMb": 4_000, "gpu": 1}
WORK_MS = 30_000
MUTE_S = 13.0


async def case(record, trouble: bool) -> list[str]:
    """Returns what was broken."""
    rng = random.Random()
    system = deployment_lib.Deployment(record, sides=6)
    try:
        system.add_system()
        runners = [system.add_runner(n, sickness="mute") for n in range(6)]
        system.start_all()
        caller = deployment_lib.Caller(system)
        try:
            return await play(system, caller, runners, rng, trouble)
        finally:
            await caller.close()
    finally:
        system.close()


async def play(system, caller, runners, rng, trouble) -> list[str]:
    """Hands in a job whose runner stops answering for a while."""
    await caller.configure(deployment_lib.config(3))
    await deployment_lib.until_runners_work(caller, rng, len(runners), NEED)
    name = deployment_lib.job_id(rng)
    task = f"{name}.0.0.0"
    room = {"cpu": NEED["cpu"], "mem": NEED["memRequestMb"], "gpu": NEED["gpu"]}
    await caller.submit(
        name,
        {
            "spec": json.dumps({"ms": WORK_MS, "need": room}),
            "steps": [{"count": 1, "estimateMs": WORK_MS} | NEED],
        },
    )

    def events() -> list[dict]:
        return [row for row in system.journal() if row.get("task") == task]

    deadline = time.time() + 10
    while not events():
        if time.time() > deadline:
            raise deployment_lib.CannotRun("the task did not start")
        await asyncio.sleep(0.1)
    first = events()[0]["runner"]
    await asyncio.sleep(2.0)
    if trouble:
        system.signal(first, signal.SIGUSR1)
    await asyncio.sleep(MUTE_S)
    if trouble:
        system.signal(first, signal.SIGUSR2)
    await asyncio.sleep(6.0)
    return overlaps(events())


def overlaps(events: list[dict]) -> list[str]:
    """Returns the runs that began while another run of the task went on."""
    running: dict[int, dict] = {}
    found = []
    for row in events:
        if row["event"] == "start":
            found += [
                f"run {row['run']} of {row['task']} started on {row['runner']}"
                f" while run {other['run']} went on on {other['runner']}"
                for other in running.values()
            ]
            running[row["run"]] = row
        elif row["event"] == "end":
            running.pop(row["run"], None)
    return found


if __name__ == "__main__":
    deployment_lib.run_case(pathlib.Path(__file__).parent, case)
