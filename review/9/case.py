"""A job of many small tasks is accepted; what others hand in then waits."""

import asyncio
import sys

from review.harness2 import lost
from review.harness2 import system as system_lib

CASE = sys.argv[1]
KEY_A, KEY_B = "a" * 20, "b" * 20
SMALL = {"count": 2, "cpu": 500, "memRequestMb": 64, "estimateMs": 1000}
WIDE = {"count": 400, "cpu": 40, "memRequestMb": 16, "estimateMs": 3000}


async def hand_in(system, jobs, queue, key, step, ms):
    """Hands in a job of one step; adds it to `jobs` if it is accepted."""
    job = system_lib.new_id()
    body = {"spec": f"ms={ms}", "steps": [step]}
    status, _ = await system.ask("POST", queue, job, key, body)
    if status == 200:
        jobs.append({"id": job, "queue": queue, "key": key,
                     "count": step["count"], "cpu": step["cpu"]})


async def play(system, trouble):
    """Hands in small jobs for 24 s, and after 8 s the wide one."""
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
    for second in range(24):
        if second == 8 and trouble:
            await hand_in(system, jobs, "tallies", KEY_B, WIDE, 3000)
        await hand_in(system, jobs, "plans", KEY_A, SMALL, 1000)
        await asyncio.sleep(1)
    if len(jobs) < 20:
        raise system_lib.CannotRun(f"only {len(jobs)} jobs were accepted")
    await asyncio.sleep(lost.FINISH_S)
    return await lost.judge(system, jobs)


system_lib.main(play, CASE)
