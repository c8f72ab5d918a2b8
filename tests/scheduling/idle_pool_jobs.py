"""Shapes of the jobs that arrive at the pools of `idle_pool_model`."""

import dataclasses
import random
from collections.abc import Callable
from collections.abc import Mapping

from bilberryroute.model import batch
from tests.utils import batches

NEVER_MS = 10**8


def _need(cpu_millis: int, memory_mb: int, accelerators: int):
    return batch.Resources(
        cpu_millis=cpu_millis, memory_mb=memory_mb, accelerators=accelerators
    )


def _large(rng: random.Random, accelerators: int = 0) -> batch.Resources:
    return _need(26_000, 52_992, accelerators or rng.randint(1, 8))


def _medium(rng: random.Random) -> batch.Resources:
    return _need(7_500, 15_360, rng.randint(1, 8))


def small_need() -> batch.Resources:
    """Returns what a task of one accelerator needs."""
    return _need(5_600, 11_448, 1)


def _estimate_ms(rng: random.Random) -> int:
    return rng.choice((1_000, 5_000, 17_000, 19_000, 60_000))


def _step(
    rng: random.Random, count: int, need: batch.Resources, **more
) -> batch.Step:
    more.setdefault("checkpointing", rng.random() < 0.3)
    more.setdefault("estimate_ms", _estimate_ms(rng))
    return batches.step(count, need=need, **more)


def _rack_gang(rng, racks):
    return [_step(rng, 3, _large(rng, 8), gang=True, same_rack=True)]


def _random_rack_gang(rng, racks):
    count = rng.randint(2, 8)
    return [_step(rng, count, _large(rng), gang=True, same_rack=True)]


def _gang(rng, racks):
    need = rng.choice((_large(rng), _medium(rng), _large(rng, 8)))
    return [_step(rng, rng.randint(2, 4), need, gang=True)]


def _wide_gang(rng, racks):
    return [_step(rng, rng.randint(5, 24), _large(rng), gang=True)]


def _data(rng, racks):
    need = rng.choice((_large(rng, 8), _medium(rng), small_need()))
    count = rng.randint(1, 5)
    return [_step(rng, count, need, data_rack=rng.choice(racks))]


def _data_gang(rng, racks):
    rack = rng.choice(racks)
    count = rng.randint(2, 5)
    return [_step(rng, count, _large(rng), gang=True, data_rack=rack)]


def _whole_worker(rng, racks):
    return [_step(rng, rng.randint(1, 3), _large(rng, 8))]


def _labelled(rng, racks):
    more = {"gang": rng.random() < 0.5, "required_label": rng.choice(racks)}
    return [_step(rng, rng.randint(1, 3), _large(rng), **more)]


def _spread(rng, racks):
    more = {"gang": rng.random() < 0.5, "same_rack": rng.random() < 0.5}
    need = rng.choice((_medium(rng), small_need()))
    return [_step(rng, rng.randint(2, 6), need, spread_limit=1, **more)]


def _steps(rng, racks):
    first = _step(rng, rng.randint(1, 3), small_need(), estimate_ms=1_000)
    second = rng.choice((_rack_gang, _gang, _whole_worker, _data))
    [last] = second(rng, racks)
    return [first, dataclasses.replace(last, depends_on=(0,))]


def _many_small(rng, racks):
    return [_step(rng, rng.randint(5, 40), small_need())]


def _lasting(rng, racks):
    need = rng.choice((_large(rng, 8), _medium(rng)))
    more = {
        "gang": rng.random() < 0.3,
        "same_rack": rng.random() < 0.5,
        "data_rack": rng.choice(("", "", *racks)),
        "spread_limit": rng.choice((0, 1)),
        "long_running": True,
        "estimate_ms": NEVER_MS,
    }
    return [_step(rng, rng.randint(1, 4), need, **more)]


SHAPES: Mapping[str, Callable[..., list[batch.Step]]] = {
    "rack_gang": _rack_gang,
    "random_rack_gang": _random_rack_gang,
    "gang": _gang,
    "wide_gang": _wide_gang,
    "data": _data,
    "data_gang": _data_gang,
    "whole_worker": _whole_worker,
    "labelled": _labelled,
    "spread": _spread,
    "steps": _steps,
    "many_small": _many_small,
    "lasting": _lasting,
}
