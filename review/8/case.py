"""A job that can never be done is accepted; what others hand in then waits."""

import asyncio
import sys

from review.harness2 import lost
from review.harness2 import system as system_lib

CASE = sys.argv[1]
KEY_A, KEY_B = "a" * 20, "b" * 20
SMALL = {"count": 2, "cpu": 500, "memRequestMb": 64, "estimateMs": 1000}
# Each step asks for more than a runner has. The body stays below `maxBodyBytes`.
STEP = {"count": 1, "cpu": 64_000, "memRequestMb": 64, "estimateMs": 1000}
STEPS = 2_000


async def hand_in(system, jobs):
    """Hands in a small job; adds it to `jobs` if it is accepted."""
    job = system_lib.new_id()
    body = {"spec": "ms=1000", "steps": [SMALL]}
    status, _ = await system.ask("POST", "plans", job, KEY_A, body)
    if status == 200:
        jobs.append({"id": job, "queue": "plans", "key": KEY_A,
                     "count": SMALL["count"], "cpu": SMALL["cpu"]})


async def play(system, trouble):
    """Hands in small jobs for 20 s, and the one that can't be done after 6 s."""
    await system.start()
    await system.configure(
        1,
        [
            {"name": "tenant-a", "apiKeys": [KEY_A], "guaranteedGpus": {"gpu": 4}},
            {"name": "tenant-b", "apiKeys": [KEY_B], "guaranteedGpus": {"gpu": 4}},
        ],
        {"plans": {"priority": 1}, "tallies": {"priority": 2}},
    )
    jobs = []
    clients = []
    for second in range(20):
        if second == 6 and trouble:
            body = {"spec": "ms=1000", "steps": [STEP] * STEPS}
            status, _ = await system.ask(
                "POST", "tallies", system_lib.new_id(), KEY_B, body
            )
            if status != 200:
                raise system_lib.CannotRun(f"the job was answered {status}")
        clients.append(asyncio.create_task(hand_in(system, jobs)))
        await asyncio.sleep(1)
    await asyncio.gather(*clients)
    if len(jobs) < 7:
        raise system_lib.CannotRun(f"only {len(jobs)} jobs were accepted")
    await asyncio.sleep(lost.FINISH_S)
    return await lost.judge(system, jobs)


system_lib.main(play, CASE)
