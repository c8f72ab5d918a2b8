"""Binds guaranteed blocks to workers, so that each can be reclaimed in place.

Every guaranteed block is bound to a number of accelerators on specific
workers; the blocks bound to a worker never exceed its accelerators. A job is
protected while it runs within the blocks bound for its own account. All other
jobs are preemptible, so preempting them always frees every bound block.
"""

import collections
import dataclasses

from bilberryroute.model import config
from bilberryroute.scheduling import capacity
from bilberryroute.scheduling import decisions
from bilberryroute.scheduling import fitting

_STRICTNESS = {
    config.Adjacency.WORKER: 0,
    config.Adjacency.RACK: 1,
    config.Adjacency.FAILURE_DOMAIN: 2,
}
_NO_NEED = capacity.Need()


@dataclasses.dataclass(slots=True)
class GuaranteedBlock:
    """One guaranteed block.

    Attributes:
      account: The account that owns it.
      shape: Number and adjacency of its accelerators.
      fit: Accelerators by worker that it is bound to; None if it is unbound.
    """

    account: str
    shape: config.Shape
    fit: fitting.Fit | None = None


def unbound_blocks(
    configuration: config.Configuration,
) -> list[GuaranteedBlock]:
    """Returns every guaranteed block of a configuration, not bound yet."""
    blocks = []
    for name, account in sorted(configuration.accounts.items()):
        if account.removed:
            continue
        for shape in account.guarantees:
            single = dataclasses.replace(shape, copies=1)
            blocks += [
                GuaranteedBlock(name, single) for _ in range(shape.copies)
            ]
    return blocks


def shortfalls_of(
    blocks: list[GuaranteedBlock],
) -> tuple[decisions.Shortfall, ...]:
    """Returns the unbound blocks, equal ones counted together."""
    counts: collections.Counter[tuple[str, config.Shape]] = (
        collections.Counter()
    )
    for block in blocks:
        if block.fit is None:
            counts[block.account, block.shape] += 1
    return tuple(
        decisions.Shortfall(
            account=account, shape=dataclasses.replace(shape, copies=copies)
        )
        for (account, shape), copies in counts.items()
    )


def pack(
    tree: capacity.CapacityTree, blocks: list[GuaranteedBlock]
) -> list[GuaranteedBlock]:
    """Binds as many guaranteed accelerators as it can, from scratch.

    Returns:
      New blocks in the order given, from the better of two packing orders.
    """
    packed = [
        _pack(tree, blocks, order) for order in (_by_size, _by_strictness)
    ]
    return min(packed, key=_unbound_accelerators)


def _by_size(block: GuaranteedBlock):
    """Sorts large blocks first; among equals, the hardest to fit."""
    shape = block.shape
    strictness = _STRICTNESS[shape.adjacency]
    return (-shape.accelerators, strictness, not shape.failure_domain)


def _by_strictness(block: GuaranteedBlock):
    """Sorts blocks pinned to a domain first, then by adjacency and size."""
    shape = block.shape
    strictness = _STRICTNESS[shape.adjacency]
    return (not shape.failure_domain, strictness, -shape.accelerators)


def _pack(tree, blocks: list[GuaranteedBlock], order) -> list[GuaranteedBlock]:
    """Binds blocks one by one in the order given."""
    result = [GuaranteedBlock(block.account, block.shape) for block in blocks]
    bound: collections.Counter[str] = collections.Counter()
    for block in sorted(result, key=order):
        block.fit = fit_block(tree, block.shape, bound)
        bound.update(block.fit or {})
    return result


def fit_block(
    tree: capacity.CapacityTree,
    shape: config.Shape,
    bound: collections.Counter[str],
) -> fitting.Fit | None:
    """Finds unbound accelerators for one block."""
    room = {
        name: node.worker.accelerators - bound[name]
        for name, node in tree.nodes.items()
        if node.guarantee_eligible
    }
    return fitting.find_in(tree, shape, _NO_NEED, room)


def _unbound_accelerators(blocks: list[GuaranteedBlock]) -> int:
    return sum(
        block.shape.accelerators for block in blocks if block.fit is None
    )


class Guarantees:
    """The bound blocks of all accounts, and what is used of them.

    Attributes:
      blocks: All guaranteed blocks, bound or not.
      bound: Accelerators bound for any account, by worker.
    """

    def __init__(self, tree: capacity.CapacityTree):
        self.blocks: list[GuaranteedBlock] = []
        self.bound: collections.Counter[str] = collections.Counter()
        self._tree = tree
        self._shares: dict[str, collections.Counter[str]] = {}
        self._used: dict[str, collections.Counter[str]] = {}
        self._all_used: collections.Counter[str] = collections.Counter()

    def configure(self, configuration: config.Configuration) -> None:
        """Applies new guarantees; unchanged blocks keep their binding."""
        kept = collections.defaultdict(list)
        for block in self.blocks:
            kept[block.account, block.shape].append(block)
        self.blocks = []
        for block in unbound_blocks(configuration):
            same = kept[block.account, block.shape]
            self.blocks.append(same.pop() if same else block)
        self._recount()

    def rebind(self) -> bool:
        """Unbinds blocks on lost workers and binds unbound ones where they fit.

        Returns:
          Whether any binding changed; protection must then be recomputed.
        """
        changed = self._unbind_out_of_service()
        for block in sorted(self.blocks, key=_by_size):
            if block.fit is None:
                changed |= self._bind(block)
        missing = _unbound_accelerators(self.blocks)
        if missing:
            packed = pack(self._tree, self.blocks)
            if _unbound_accelerators(packed) < missing:
                self.blocks = packed
                changed = True
        if changed:
            self._recount()
        return changed

    def _unbind_out_of_service(self) -> bool:
        """Unbinds blocks on workers that are gone or not eligible."""
        changed = False
        nodes = self._tree.nodes
        for block in self.blocks:
            if block.fit is None:
                continue
            if all(
                name in nodes and nodes[name].guarantee_eligible
                for name in block.fit
            ):
                continue
            block.fit = None
            changed = True
        if changed:
            self._recount()
        return changed

    def _bind(self, block: GuaranteedBlock) -> bool:
        """Binds one block to unbound accelerators, if it fits."""
        block.fit = fit_block(self._tree, block.shape, self.bound)
        if block.fit is None:
            return False
        self.bound.update(block.fit)
        return True

    def _recount(self) -> None:
        """Recounts the bound accelerators by worker and account."""
        self.bound.clear()
        self._shares.clear()
        for block in self.blocks:
            if block.fit is not None:
                self.bound.update(block.fit)
                shares = self._shares.setdefault(
                    block.account, collections.Counter()
                )
                shares.update(block.fit)

    def share(self, account: str) -> collections.Counter[str]:
        """Returns the accelerators bound for an account, by worker."""
        return self._shares.get(account, _EMPTY)

    def remaining(self, account: str, name: str) -> int:
        """Returns the unused part of an account's share on a worker."""
        share = self._shares.get(account)
        if share is None:
            return 0
        used = self._used.get(account)
        return share[name] - (used[name] if used else 0)

    def total_remaining(self, account: str) -> int:
        """Returns the unused part of an account's whole share."""
        return (
            self.share(account).total()
            - self._used.get(account, _EMPTY).total()
        )

    def usage_on(self, name: str) -> int:
        """Returns what protected jobs and reservations use on a worker."""
        return self._all_used[name]

    def covers(self, account: str, units: dict[str, int]) -> bool:
        """Returns whether units fit the unused part of an account's share."""
        return all(
            self.remaining(account, name) >= count
            for name, count in units.items()
        )

    def add_usage(self, account: str, units: dict[str, int]) -> None:
        """Counts the units of a protected job or a reservation as used."""
        used = self._used.setdefault(account, collections.Counter())
        used.update(units)
        self._all_used.update(units)

    def remove_usage(self, account: str, units: dict[str, int]) -> None:
        """Counts the units of a protected job or a reservation as unused."""
        self._used[account].subtract(units)
        self._all_used.subtract(units)

    def rebind_to(self, account: str, units: dict[str, int]) -> bool:
        """Rebinds an unused block of an account to where one of its jobs runs.

        Args:
          account: The account whose block may be rebound.
          units: Capacity allocated to the job, by worker.

        Returns:
          Whether a block was rebound; the job is then within the guarantee.
        """
        for block in self.blocks:
            if block.account != account or block.fit is None:
                continue
            if not self._is_idle(block):
                continue
            fit = self._fit_around(block, units)
            if fit is not None:
                self._rebind(block, fit)
                return True
        return False

    def _is_idle(self, block: GuaranteedBlock) -> bool:
        """Returns whether no protected job needs this block."""
        return all(
            self.remaining(block.account, name) >= count
            for name, count in block.fit.items()
        )

    def _fit_around(self, block: GuaranteedBlock, units) -> fitting.Fit | None:
        """Finds unbound accelerators for a block that include a job's units."""
        spare = block.shape.accelerators - sum(units.values())
        if spare < 0:
            return None
        names = self._group_around(block.shape, units)
        room = {}
        for name in names:
            total = self._tree.nodes[name].worker.accelerators
            own = block.fit.get(name, 0)
            room[name] = total - self.bound[name] + own - units.get(name, 0)
            if room[name] < 0:
                return None
        if sum(room.values()) < spare or not units.keys() <= room.keys():
            return None
        fit = dict(units)
        for name, count in fitting.spread(room, room, spare).items():
            fit[name] = fit.get(name, 0) + count
        return fit

    def _group_around(self, shape: config.Shape, units) -> list[str]:
        """Returns the workers to which a block around a job may be bound."""
        tree = self._tree
        first = tree.nodes[next(iter(units))]
        domain = first.worker.failure_domain
        if shape.failure_domain not in ("", domain):
            return []
        match shape.adjacency:
            case config.Adjacency.WORKER:
                names = [first.worker.name]
            case config.Adjacency.RACK:
                names = tree.racks[first.rack]
            case config.Adjacency.FAILURE_DOMAIN:
                racks = tree.domains[domain]
                names = [name for key in racks for name in tree.racks[key]]
        return [name for name in names if tree.nodes[name].guarantee_eligible]

    def _rebind(self, block: GuaranteedBlock, fit: fitting.Fit) -> None:
        """Changes the binding of a block."""
        shares = self._shares[block.account]
        for counts in (self.bound, shares):
            counts.subtract(block.fit)
            counts.update(fit)
        block.fit = fit

    def clear_usage(self) -> None:
        """Clears all counted use, before it is recomputed."""
        self._used.clear()
        self._all_used.clear()

    def shortfalls(self) -> tuple[decisions.Shortfall, ...]:
        """Returns the guarantees that are not bound."""
        return shortfalls_of(self.blocks)


_EMPTY: collections.Counter[str] = collections.Counter()
