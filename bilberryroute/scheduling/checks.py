"""Checks the invariants of the scheduler's state."""

import collections

from bilberryroute.scheduling import decisions
from bilberryroute.scheduling import guarantees
from bilberryroute.scheduling import reclaim
from bilberryroute.scheduling import state as states


def check(state: states.SchedulerState) -> list[decisions.Violation]:
    """Returns every violation of an invariant."""
    return [
        *_conservation(state),
        *_whole_gangs(state),
        *_bindings(state),
        *_protection(state),
        *_shortfalls(state),
    ]


def _violation(invariant: str, message: str) -> decisions.Violation:
    return decisions.Violation(invariant=invariant, message=message)


def _conservation(state: states.SchedulerState):
    """Checks that each accelerator is free or allocated to exactly one job."""
    allocated: dict[str, list[int]] = collections.defaultdict(list)
    for entry in state.entries.values():
        for each in entry.assignments:
            node = state.tree.nodes.get(each.worker)
            if node is not None and entry.job.id in node.allocated:
                allocated[each.worker] += each.accelerators
    for name, node in state.tree.nodes.items():
        known = sorted(node.free + allocated[name])
        if known != list(range(node.worker.accelerators)):
            yield _violation(
                "conservation",
                f"worker {name} has free and allocated accelerators {known}",
            )
        if node.room < 0:
            yield _violation("conservation", f"worker {name} is overcommitted")


def _whole_gangs(state: states.SchedulerState):
    """Checks that placed jobs have all accelerators, adjacent as asked."""
    for entry in state.entries.values():
        if not entry.placed:
            continue
        count = sum(len(each.accelerators) for each in entry.assignments)
        names = [each.worker for each in entry.assignments]
        missing = [
            name
            for name in names
            if name not in state.tree.nodes
            or entry.job.id not in state.tree.nodes[name].allocated
        ]
        if count != entry.job.shape.accelerators or missing:
            yield _violation(
                "whole gangs",
                f"job {entry.job.id} holds {count} accelerators, none on"
                f" {missing}",
            )
        elif not adjacent(state, entry.job.shape, names):
            yield _violation(
                "adjacency", f"job {entry.job.id} is spread over {names}"
            )
        if any(not state.tree.nodes[name].in_service for name in names):
            yield _violation(
                "out of service", f"job {entry.job.id} is placed out of service"
            )


def adjacent(state: states.SchedulerState, shape, names) -> bool:
    """Returns whether workers are adjacent as a shape asks."""
    groups = reclaim.adjacency_groups(state.tree, shape, names)
    return len(groups) <= 1 and sum(map(len, groups)) == len(names)


def _bindings(state: states.SchedulerState):
    """Checks that bound blocks are whole, adjacent, eligible and disjoint."""
    bound: collections.Counter[str] = collections.Counter()
    for block in state.guarantees.blocks:
        if block.fit is None:
            continue
        bound.update(block.fit)
        names = [name for name, count in block.fit.items() if count]
        if sum(block.fit.values()) != block.shape.accelerators:
            yield _violation("guarantees", f"{block} is partly bound")
        if any(not _guarantee_eligible(state, name) for name in names):
            yield _violation("guarantees", f"{block} is bound out of service")
        elif not adjacent(state, block.shape, names):
            yield _violation("guarantees", f"{block} is not adjacent")
    for name, count in bound.items():
        node = state.tree.nodes.get(name)
        if node is None or count > node.worker.accelerators:
            yield _violation(
                "guarantees", f"{count} accelerators are bound on {name}"
            )


def _guarantee_eligible(state: states.SchedulerState, name: str) -> bool:
    node = state.tree.nodes.get(name)
    return node is not None and node.guarantee_eligible


def _protection(state: states.SchedulerState):
    """Checks that protected jobs use no more than their account's share.

    Preempting the other jobs then frees every bound block in place.
    """
    shares: dict[str, collections.Counter[str]] = {}
    for block in state.guarantees.blocks:
        if block.fit is not None:
            share = shares.setdefault(block.account, collections.Counter())
            share.update(block.fit)
    used: dict[str, collections.Counter[str]] = {}
    for entry in state.entries.values():
        if entry.protected:
            counts = used.setdefault(entry.job.account, collections.Counter())
            counts.update(entry.units)
    for account, counts in used.items():
        share = shares.get(account, collections.Counter())
        for name, count in counts.items():
            if count > share[name]:
                yield _violation(
                    "guarantees",
                    f"protected jobs of {account} use {count} of"
                    f" {share[name]} accelerators on {name}",
                )


def _shortfalls(state: states.SchedulerState):
    """Checks that packing from scratch would not satisfy every guarantee."""
    short = state.guarantees.shortfalls()
    if not short:
        return
    packed = guarantees.pack(state.tree, state.guarantees.blocks)
    if not guarantees.shortfalls_of(packed):
        yield _violation("guarantees", f"{short} could be bound")
