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
class Cell:
    """One guaranteed block and where it is bound; nowhere if it is short."""

    account: str
    shape: config.Shape
    fit: fitting.Fit | None = None


def cells_of(configuration: config.Configuration) -> list[Cell]:
    """Returns one unbound cell for each guaranteed block."""
    cells = []
    for name, account in sorted(configuration.accounts.items()):
        if account.removed:
            continue
        for shape in account.guarantees:
            single = dataclasses.replace(shape, copies=1)
            cells += [Cell(name, single) for _ in range(shape.copies)]
    return cells


def shortfalls_of(cells: list[Cell]) -> tuple[decisions.Shortfall, ...]:
    """Returns what is bound nowhere, equal blocks counted together."""
    counts: collections.Counter[tuple[str, config.Shape]] = (
        collections.Counter()
    )
    for cell in cells:
        if cell.fit is None:
            counts[cell.account, cell.shape] += 1
    return tuple(
        decisions.Shortfall(
            account=account, shape=dataclasses.replace(shape, copies=copies)
        )
        for (account, shape), copies in counts.items()
    )


def pack(tree: capacity.CapacityTree, cells: list[Cell]) -> list[Cell]:
    """Binds as many accelerators as it can of all cells, from scratch.

    Returns:
      New cells in the order given, from the better of two packing orders.
    """
    packed = [_pack(tree, cells, order) for order in (_by_size, _by_strictness)]
    return min(packed, key=_short_accelerators)


def _by_size(cell: Cell):
    """Large blocks first; among equals, the hardest to fit."""
    shape = cell.shape
    strictness = _STRICTNESS[shape.adjacency]
    return (-shape.accelerators, strictness, not shape.failure_domain)


def _by_strictness(cell: Cell):
    """Pinned blocks first, then the strictest adjacency, then large ones."""
    shape = cell.shape
    strictness = _STRICTNESS[shape.adjacency]
    return (not shape.failure_domain, strictness, -shape.accelerators)


def _pack(tree, cells: list[Cell], order) -> list[Cell]:
    """Binds cells one by one in the order given."""
    result = [Cell(cell.account, cell.shape) for cell in cells]
    bound: collections.Counter[str] = collections.Counter()
    for cell in sorted(result, key=order):
        cell.fit = fit_block(tree, cell.shape, bound)
        bound.update(cell.fit or {})
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
        if node.sound
    }
    return fitting.find_in(tree, shape, _NO_NEED, room)


def _short_accelerators(cells: list[Cell]) -> int:
    return sum(cell.shape.accelerators for cell in cells if cell.fit is None)


class Guarantees:
    """Which accelerators are bound for whom, and how much of that is used."""

    def __init__(self, tree: capacity.CapacityTree):
        self.cells: list[Cell] = []
        self.bound: collections.Counter[str] = collections.Counter()
        self._tree = tree
        self._shares: dict[str, collections.Counter[str]] = {}
        self._used: dict[str, collections.Counter[str]] = {}
        self._all_used: collections.Counter[str] = collections.Counter()

    def configure(self, configuration: config.Configuration) -> None:
        """Takes new guarantees, keeping equal blocks bound where they are."""
        kept = collections.defaultdict(list)
        for cell in self.cells:
            kept[cell.account, cell.shape].append(cell)
        self.cells = []
        for cell in cells_of(configuration):
            same = kept[cell.account, cell.shape]
            self.cells.append(same.pop() if same else cell)
        self._count()

    def repair(self) -> bool:
        """Unbinds what left service and binds what is short where it fits.

        Returns:
          Whether any binding changed; protection must then be counted anew.
        """
        changed = self._unbind_lost()
        for cell in sorted(self.cells, key=_by_size):
            if cell.fit is None:
                changed |= self._bind(cell)
        missing = _short_accelerators(self.cells)
        if missing:
            packed = pack(self._tree, self.cells)
            if _short_accelerators(packed) < missing:
                self.cells = packed
                changed = True
        if changed:
            self._count()
        return changed

    def _unbind_lost(self) -> bool:
        """Unbinds blocks that lie on a worker out of service."""
        changed = False
        nodes = self._tree.nodes
        for cell in self.cells:
            if cell.fit is None:
                continue
            if all(name in nodes and nodes[name].sound for name in cell.fit):
                continue
            cell.fit = None
            changed = True
        if changed:
            self._count()
        return changed

    def _bind(self, cell: Cell) -> bool:
        """Binds one short block to what is bound to nobody, if it fits."""
        cell.fit = fit_block(self._tree, cell.shape, self.bound)
        if cell.fit is None:
            return False
        self.bound.update(cell.fit)
        return True

    def _count(self) -> None:
        """Counts the bound accelerators by worker and account."""
        self.bound.clear()
        self._shares.clear()
        for cell in self.cells:
            if cell.fit is not None:
                self.bound.update(cell.fit)
                shares = self._shares.setdefault(
                    cell.account, collections.Counter()
                )
                shares.update(cell.fit)

    def share(self, account: str) -> collections.Counter[str]:
        """Returns the accelerators bound for an account, by worker."""
        return self._shares.get(account, _EMPTY)

    def left(self, account: str, name: str) -> int:
        """Returns what the account's protected jobs leave of its share."""
        share = self._shares.get(account)
        if share is None:
            return 0
        used = self._used.get(account)
        return share[name] - (used[name] if used else 0)

    def idle(self, account: str) -> int:
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
            self.left(account, name) >= count for name, count in units.items()
        )

    def use(self, account: str, units: dict[str, int]) -> None:
        """Counts a protected job."""
        used = self._used.setdefault(account, collections.Counter())
        used.update(units)
        self._all_used.update(units)

    def unuse(self, account: str, units: dict[str, int]) -> None:
        """Counts a protected job out."""
        self._used[account].subtract(units)
        self._all_used.subtract(units)

    def follow(self, account: str, units: dict[str, int]) -> bool:
        """Binds an idle block of an account anew, around where a job lies.

        Args:
          account: The account whose block may move.
          units: Room that the job holds, by worker.

        Returns:
          Whether a block moved; the job then lies within the account's share.
        """
        for cell in self.cells:
            if cell.account != account or cell.fit is None:
                continue
            if not self._is_idle(cell):
                continue
            fit = self._around(cell, units)
            if fit is not None:
                self._move(cell, fit)
                return True
        return False

    def _is_idle(self, cell: Cell) -> bool:
        """Returns whether protected jobs do without this block."""
        return all(
            self.left(cell.account, name) >= count
            for name, count in cell.fit.items()
        )

    def _around(self, cell: Cell, units) -> fitting.Fit | None:
        """Finds room that is bound to nobody and includes a job's place."""
        spare = cell.shape.accelerators - sum(units.values())
        if spare < 0:
            return None
        names = self._part_around(cell.shape, units)
        room = {}
        for name in names:
            total = self._tree.nodes[name].worker.accelerators
            own = cell.fit.get(name, 0)
            room[name] = total - self.bound[name] + own - units.get(name, 0)
            if room[name] < 0:
                return None
        if sum(room.values()) < spare or not units.keys() <= room.keys():
            return None
        fit = dict(units)
        for name, count in fitting.spread(room, room, spare).items():
            fit[name] = fit.get(name, 0) + count
        return fit

    def _part_around(self, shape: config.Shape, units) -> list[str]:
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
        return [name for name in names if tree.nodes[name].sound]

    def _move(self, cell: Cell, fit: fitting.Fit) -> None:
        """Binds a block elsewhere."""
        shares = self._shares[cell.account]
        for counts in (self.bound, shares):
            counts.subtract(cell.fit)
            counts.update(fit)
        cell.fit = fit

    def clear_use(self) -> None:
        """Forgets all protected jobs, before they are counted anew."""
        self._used.clear()
        self._all_used.clear()

    def shortfalls(self) -> tuple[decisions.Shortfall, ...]:
        """Returns the guarantees bound nowhere."""
        return shortfalls_of(self.cells)


_EMPTY: collections.Counter[str] = collections.Counter()
