"""Capacity two years on, from slopes measured on this machine.

python -m benchmarks.slopes

Prints a table for each role and redraws a plot of each slope.
"""

import asyncio
import datetime
import os
import pathlib

import defopt
import msgspec

from benchmarks import capacity_decisions
from benchmarks import capacity_fleet
from benchmarks import capacity_model as model
from benchmarks import capacity_paths
from benchmarks import capacity_plots as plots
from benchmarks import capacity_state

ROLES = ("entry", "replica", "leading replica", "agent")
PLOTS = "docs/capacity"


def measure(seed: int, seconds: int) -> list[model.Line]:
    """Measures all slopes."""
    found = capacity_state.state_lines() + capacity_state.message_lines()
    rows = asyncio.run(capacity_fleet.measure(seconds))
    found += capacity_fleet.lines(rows)
    found += asyncio.run(capacity_paths.measure_requests(seconds))
    found += asyncio.run(capacity_paths.measure_agents(seconds))
    found += capacity_decisions.lines(seed)
    return found


def show(lines: list[model.Line]) -> None:
    """Prints a table for each role."""
    for role in ROLES:
        print(f"\n### {role}\n")
        print(model.table([line for line in lines if line.role == role]))
    print("\n| command in the log | bytes |\n| --- | --- |")
    for name, size in capacity_state.log_bytes().items():
        print(f"| {name} | {size} |")


def machine() -> str:
    """Returns the date and how busy the machine is."""
    now = datetime.datetime.now(datetime.UTC)
    loads = ", ".join(f"{load:.1f}" for load in os.getloadavg())
    return f"{now:%Y-%m-%d %H:%M} UTC, {os.cpu_count()} cores, load {loads}"


def main(
    *, seed: int = 1, seconds: int = 5, plots_folder: str = PLOTS, out: str = ""
) -> None:
    """Measure the slopes.

    :param seed: Seed of the scheduler's workload.
    :param seconds: How long to watch at each size.
    :param plots_folder: Where the plots go.
    :param out: File to write the slopes to as JSON; none if empty.
    """
    print(f"before: {machine()}")
    found = measure(seed, seconds)
    print(f"after: {machine()}")
    show(found)
    plots.draw(found, pathlib.Path(plots_folder))
    if out:
        path = pathlib.Path(out)
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(msgspec.json.encode(found))


if __name__ == "__main__":
    defopt.run(main, cli_options="has_default", no_negated_flags=True)
