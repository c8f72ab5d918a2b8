"""Faults of one run of the soak: drawn from a seed, then applied."""

import asyncio
import dataclasses
import enum
import random

from bilberryroute import clock as clock_lib
from tests.soak import site as site_lib
from tests.utils import relay

# Faults come within this time, in series and overlapping.
FAULTS_MS = 12_000
MAX_FAULTS = 7
DOWN_MS = (100, 3_000)
FROZEN_MS = (200, 5_000)
GAP_MS = (0, 1_500)
DISTURBED_MS = (200, 5_000)
DELAY_MS = 300
RESET_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Kill:
    """Kills processes and starts them again; wiped ones have lost their disk."""

    at_ms: int
    names: tuple[str, ...]
    down_ms: int
    wiped: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Freeze:
    """Suspends processes for a time."""

    at_ms: int
    names: tuple[str, ...]
    frozen_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Roll:
    """Stops processes by SIGTERM and starts them again, one after another."""

    at_ms: int
    names: tuple[str, ...]
    gap_ms: int


class Effect(enum.StrEnum):
    """What happens to the connections to a process.

    `CUT`, `CUT_FORWARD`, `CUT_BACKWARD`: nothing passes, in both directions or
    one. `SILENCE`: bytes vanish, and open connections stay silent afterwards.
    `DELAY`: all takes longer. `RESET`: connections are reset.
    """

    CUT = "cut"
    CUT_FORWARD = "cut_forward"
    CUT_BACKWARD = "cut_backward"
    SILENCE = "silence"
    DELAY = "delay"
    RESET = "reset"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Disturb:
    """Disturbs the connections to processes for a time."""

    at_ms: int
    names: tuple[str, ...]
    effect: Effect
    for_ms: int


Fault = Kill | Freeze | Roll | Disturb


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """Faults of one run.

    Attributes:
      faults: Faults during the day, by time.
      final: Loss of power of all processes at the end.
    """

    faults: tuple[Fault, ...]
    final: Kill


def draw(seed: int, site: site_lib.Site) -> Plan:
    """Draws the faults of a run.

    Disks are lost once a run at most, and no more than is tolerated: the group
    needs time to replace them.
    """
    rng = random.Random(seed)
    count = rng.randint(2, MAX_FAULTS)
    faults = [_draw_fault(rng, site) for _ in range(count)]
    wiped = tuple(
        rng.sample(site.names("replica"), rng.randint(0, site.layout.tolerated))
    )
    if wiped and rng.random() < 0.5:
        faults.append(
            Kill(
                at_ms=rng.randint(0, FAULTS_MS),
                names=wiped,
                down_ms=rng.randint(*DOWN_MS),
                wiped=wiped,
            )
        )
        wiped = ()
    everything = tuple(
        name
        for kind in ("replica", "entry", "agent", "worker")
        for name in site.names(kind)
    )
    final = Kill(
        at_ms=FAULTS_MS,
        names=everything,
        down_ms=rng.randint(*DOWN_MS),
        wiped=wiped,
    )
    return Plan(
        faults=tuple(sorted(faults, key=lambda each: each.at_ms)), final=final
    )


def _draw_fault(rng: random.Random, site: site_lib.Site) -> Fault:
    kind = rng.choice(("replica", "replica", "entry", "agent", "worker"))
    known = site.names(kind)
    names = tuple(rng.sample(known, rng.randint(1, len(known))))
    at_ms = rng.randint(0, FAULTS_MS)
    match rng.randrange(4):
        case 0:
            return Kill(at_ms=at_ms, names=names, down_ms=rng.randint(*DOWN_MS))
        case 1:
            frozen_ms = rng.randint(*FROZEN_MS)
            return Freeze(at_ms=at_ms, names=names, frozen_ms=frozen_ms)
        case 2:
            return Disturb(
                at_ms=at_ms,
                names=names,
                effect=rng.choice(list(Effect)),
                for_ms=rng.randint(*DISTURBED_MS),
            )
    return Roll(at_ms=at_ms, names=names, gap_ms=rng.randint(*GAP_MS))


async def apply(site: site_lib.Site, fault: Fault) -> None:
    """Applies one fault, and ends it."""
    match fault:
        case Kill():
            for name in fault.names:
                site.kill(name)
            for name in fault.wiped:
                site.wipe(name)
            await _sleep(fault.down_ms)
            for name in fault.names:
                site.start(name)
        case Freeze():
            for name in fault.names:
                site.freeze(name)
            await _sleep(fault.frozen_ms)
            for name in fault.names:
                site.resume(name)
        case Disturb():
            for name in fault.names:
                _disturb(site.link(name), fault.effect)
            await _sleep(fault.for_ms)
            for name in fault.names:
                site.link(name).heal()
        case Roll():
            for name in fault.names:
                await site.stop(name)
                site.start(name)
                await _sleep(fault.gap_ms)


def _disturb(link: relay.TcpRelay, effect: Effect) -> None:
    match effect:
        case Effect.CUT:
            link.cut()
        case Effect.CUT_FORWARD:
            link.cut(backward=False)
        case Effect.CUT_BACKWARD:
            link.cut(forward=False)
        case Effect.SILENCE:
            link.forward.swallow = link.backward.swallow = True
        case Effect.DELAY:
            link.forward.delay_ms = link.backward.delay_ms = DELAY_MS
        case Effect.RESET:
            link.reset_connections()
            link.forward.reset = link.backward.reset = RESET_SHARE


async def apply_all(site: site_lib.Site, faults: tuple[Fault, ...]) -> None:
    """Applies faults at their times; they may overlap."""

    async def at_its_time(fault: Fault) -> None:
        await _sleep(fault.at_ms)
        await apply(site, fault)

    async with asyncio.TaskGroup() as group:
        for fault in faults:
            group.create_task(at_its_time(fault))


async def _sleep(duration_ms: int) -> None:
    await asyncio.sleep(clock_lib.seconds(clock_lib.Millis(duration_ms)))
