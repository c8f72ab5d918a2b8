"""Time of one scheduling decision, by the number of workers."""

from benchmarks import capacity_model as model
from benchmarks import decisions_growth
from benchmarks import decisions_measures

SIZES = (105, 210, 420)


def lines(seed: int) -> list[model.Line]:
    """Returns the decision time over workers, under a full queue."""
    found = [decisions_growth.measure(size, seed) for size in SIZES]
    return [
        model.Line(
            role="leading replica",
            cost=f"decision, percentile {percent}",
            unit="us",
            over="worker",
            sizes=SIZES,
            values=tuple(
                decisions_measures.percentile(times, percent) for times in found
            ),
            target=model.WORKERS,
        )
        for percent in (50, 99)
    ]
