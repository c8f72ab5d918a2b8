"""Guaranteed shapes bound to workers, so that each can be had in place.

Every guaranteed block is bound to a number of accelerators on definite
workers; all blocks together never exceed a worker. A job is protected while
it lies within what is bound for its own account. All other jobs can be
stopped; so stopping only these always frees every bound block where it lies.
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
    """One guaranteed block and where it is bound; nowhere if it is short."""

    account: str
    shape: config.Shape
    fit: fitting.Fit | None = None


def unbound_blocks(
    configuration: config.Configuration,
) -> list[GuaranteedBlock]:
    """Returns one unbound cell for each guaranteed block."""
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
    """Returns what is bound nowhere, equal blocks counted together."""
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
    """Binds as many accelerators as it can of all cells, from scratch.

    Returns:
      New cells in the order given, from the better of two packing orders.
    """
    packed = [
        _pack(tree, blocks, order) for order in (_by_size, _by_strictness)
    ]
    return min(packed, key=_short_accelerators)


def _by_size(block: GuaranteedBlock):
    """Large blocks first; among equals, the hardest to fit."""
    shape = block.shape
    strictness = _STRICTNESS[shape.adjacency]
    return (-shape.accelerators, strictness, not shape.failure_domain)


def _by_strictness(block: GuaranteedBlock):
    """Pinned blocks first, then the strictest adjacency, then large ones."""
    shape = block.shape
    strictness = _STRICTNESS[shape.adjacency]
    return (not shape.failure_domain, strictness, -shape.accelerators)


def _pack(tree, blocks: list[GuaranteedBlock], order) -> list[GuaranteedBlock]:
    """Binds cells one by one in the order given."""
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
    """Finds room for one block in what is bound to nobody."""
    room = {
        name: node.worker.accelerators - bound[name]
        for name, node in tree.nodes.items()
        if node.guarantee_eligible
    }
    return fitting.find_in(tree, shape, _NO_NEED, room)


def _short_accelerators(blocks: list[GuaranteedBlock]) -> int:
    return sum(
        block.shape.accelerators for block in blocks if block.fit is None
    )


class Guarantees:
    """Which accelerators are bound for whom, and how much of that is used."""

    def __init__(self, tree: capacity.CapacityTree):
        self.blocks: list[GuaranteedBlock] = []
        self.bound: collections.Counter[str] = collections.Counter()
        self._tree = tree
        self._shares: dict[str, collections.Counter[str]] = {}
        self._used: dict[str, collections.Counter[str]] = {}
        self._all_used: collections.Counter[str] = collections.Counter()

    def configure(self, configuration: config.Configuration) -> None:
        """Takes new guarantees, keeping equal blocks bound where they are."""
        kept = collections.defaultdict(list)
        for block in self.blocks:
            kept[block.account, block.shape].append(block)
        self.blocks = []
        for block in unbound_blocks(configuration):
            same = kept[block.account, block.shape]
            self.blocks.append(same.pop() if same else block)
        self._recount()

    def rebind(self) -> bool:
        """Unbinds what left service and binds what is short where it fits.

        Returns:
          Whether any binding changed; protection must then be counted anew.
        """
        changed = self._unbind_out_of_service()
        for block in sorted(self.blocks, key=_by_size):
            if block.fit is None:
                changed |= self._bind(block)
        missing = _short_accelerators(self.blocks)
        if missing:
            packed = pack(self._tree, self.blocks)
            if _short_accelerators(packed) < missing:
                self.blocks = packed
                changed = True
        if changed:
            self._recount()
        return changed

    def _unbind_out_of_service(self) -> bool:
        """Unbinds blocks that lie on a worker out of service."""
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
        """Binds one short block to what is bound to nobody, if it fits."""
        block.fit = fit_block(self._tree, block.shape, self.bound)
        if block.fit is None:
            return False
        self.bound.update(block.fit)
        return True

    def _recount(self) -> None:
        """Counts the bound accelerators by worker and account."""
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
        """Returns what the account's protected jobs leave of its share."""
        share = self._shares.get(account)
        if share is None:
            return 0
        used = self._used.get(account)
        return share[name] - (used[name] if used else 0)

    def total_remaining(self, account: str) -> int:
        """Returns all of the share that no protected job uses."""
        return (
            self.share(account).total()
            - self._used.get(account, _EMPTY).total()
        )

    def protected_on(self, name: str) -> int:
        """Returns what protected jobs of all accounts use on a worker."""
        return self._all_used[name]

    def covers(self, account: str, units: dict[str, int]) -> bool:
        """Returns whether a job lies within what its account has left."""
        return all(
            self.remaining(account, name) >= count
            for name, count in units.items()
        )

    def add_usage(self, account: str, units: dict[str, int]) -> None:
        """Counts a protected job."""
        used = self._used.setdefault(account, collections.Counter())
        used.update(units)
        self._all_used.update(units)

    def remove_usage(self, account: str, units: dict[str, int]) -> None:
        """Counts a protected job out."""
        self._used[account].subtract(units)
        self._all_used.subtract(units)

    def rebind_to(self, account: str, units: dict[str, int]) -> bool:
        """Binds an idle block of an account anew, around where a job lies.

        Args:
          account: The account whose block may move.
          units: Room that the job holds, by worker.

        Returns:
          Whether a block moved; the job then lies within the account's share.
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
        """Returns whether protected jobs do without this block."""
        return all(
            self.remaining(block.account, name) >= count
            for name, count in block.fit.items()
        )

    def _fit_around(self, block: GuaranteedBlock, units) -> fitting.Fit | None:
        """Finds room that is bound to nobody and includes a job's place."""
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
        """Returns the sound workers of the part that must hold the block."""
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
        """Binds a block elsewhere."""
        shares = self._shares[block.account]
        for counts in (self.bound, shares):
            counts.subtract(block.fit)
            counts.update(fit)
        block.fit = fit

    def clear_usage(self) -> None:
        """Forgets all protected jobs, before they are counted anew."""
        self._used.clear()
        self._all_used.clear()

    def shortfalls(self) -> tuple[decisions.Shortfall, ...]:
        """Returns the guarantees bound nowhere."""
        return shortfalls_of(self.blocks)


_EMPTY: collections.Counter[str] = collections.Counter()
