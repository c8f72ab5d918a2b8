"""Graceful stop of a fake's process on signals."""

import asyncio
import signal
from collections.abc import Coroutine


async def until_signalled(main: Coroutine[None, None, None]) -> None:
    """Runs a coroutine until SIGTERM or SIGINT cancels it."""
    task = asyncio.ensure_future(main)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        await task
    except asyncio.CancelledError:
        return
