"""Size two years on, budgets, and lines fitted through measured sizes."""

import dataclasses

from benchmarks import lease_agents

MB = 1_000_000
KB = 1_000

WORKERS = 420
ACCELERATORS = 710
TASKS = 4_500
TASKS_PER_WORKER = -(-TASKS // WORKERS)
JOBS_A_DAY = 460
TEAMS = 61

IN_FORCE_MS = 7_000
CORE_PERCENT = 1.6
MEMORY_MB = 32.0
KB_A_SECOND = 10.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Line:
    """One cost, measured at several sizes and drawn out to the target size.

    Attributes:
      role: Entry, replica, leading replica or agent.
      cost: What is spent.
      unit: Unit of the values.
      over: What the size counts.
      target: Size two years on.
      budget: Most that may be spent at the target size; None if not stated.
    """

    role: str
    cost: str
    unit: str
    over: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    target: float
    budget: float | None = None

    @property
    def slope(self) -> float:
        """Returns the least-squares slope of the values."""
        return lease_agents.slope(self.sizes, self.values)

    @property
    def base(self) -> float:
        """Returns what the line gives at size 0."""
        mean_size = sum(self.sizes) / len(self.sizes)
        mean_value = sum(self.values) / len(self.values)
        return mean_value - self.slope * mean_size

    @property
    def figure(self) -> float:
        """Returns what the line gives at the target size."""
        return self.base + self.slope * self.target

    @property
    def verdict(self) -> str:
        """Returns how the figure compares with the budget."""
        if self.budget is None:
            return "no budget"
        if self.figure <= self.budget:
            return "within"
        return f"misses, {self.figure / self.budget:.1f} times"


def table(lines: list[Line]) -> str:
    """Returns lines of one role as a Markdown table."""
    head = "| cost | measured at | slope | at 0 | target | figure | budget | |"
    rows = [head, "|" + " --- |" * 8]
    rows += [_row(line) for line in lines]
    return "\n".join(rows)


def _row(line: Line) -> str:
    measured = ", ".join(
        f"{size:g}: {value:.4g}"
        for size, value in zip(line.sizes, line.values, strict=True)
    )
    budget = "" if line.budget is None else f"{line.budget:g}"
    cells = (
        f"{line.cost}, {line.unit}",
        measured,
        f"{line.slope:.3g} per {line.over}",
        f"{line.base:.3g}",
        f"{line.target:,.0f}",
        f"{line.figure:,.4g}" if line.figure < KB else f"{line.figure:,.0f}",
        budget,
        line.verdict,
    )
    return "| " + " | ".join(cells) + " |"
