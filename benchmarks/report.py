"""One HTML page with plots of the benches' figures.

python -m benchmarks.report --seed 1

Decisions come from JSON files of `benchmarks.decisions`, or are run on the
spot. Slopes come from the file that `benchmarks.slopes --out` wrote, if there
is one.
"""

import asyncio
import html
import json
import pathlib

import defopt
import msgspec

from benchmarks import capacity_model as model
from benchmarks import capacity_plots as plots
from benchmarks import consensus
from benchmarks import decisions
from benchmarks import decisions_workload as workloads
from benchmarks import requests
from benchmarks import slopes
from bilberryroute import clock as clock_lib

DEPLOYMENTS = ("trust", "exchange")
POLICIES = ("bilberryroute", "fifo_first_fit", "backfill_best_fit")
MEASURES = (
    ("completion_time_ms_mean", "mean completion time", "minutes"),
    ("completion_time_ms_p95", "completion time, 95th percentile", "minutes"),
    ("fragmentation", "fragmentation", "share of free accelerators"),
    ("domain_work_share", "work kept, a failure domain out", "share"),
    ("guarantee_violations", "guarantees not kept", "count"),
)
STYLE = """
body { font-family: sans-serif; margin: 2em auto; max-width: 62em }
figure { display: inline-block; margin: 0.3em }
"""


def read_decisions(files: list[str], seed: int) -> list[dict]:
    """Returns the figures of the files, or of runs made now."""
    if files:
        return [json.loads(pathlib.Path(each).read_text()) for each in files]
    return [_run_decisions(deployment, seed) for deployment in DEPLOYMENTS]


def _run_decisions(deployment: str, seed: int) -> dict:
    workload = workloads.generate(deployment, seed)
    makers = decisions.schedulers()
    results = {n: decisions.run(workload, makers[n]()) for n in POLICIES}
    return {"deployment": deployment, "seed": seed, "policies": results}


def decision_plots(found: dict) -> list[str]:
    """Returns a plot of each measure, by policy."""
    drawn = []
    for name, title, unit in MEASURES:
        values = {
            policy: _scaled(measures[name], unit)
            for policy, measures in found["policies"].items()
        }
        title = f"{found['deployment']}, seed {found['seed']}: {title}"
        drawn.append(plots.bars_svg(title, unit, values))
    return drawn


def _scaled(value: float, unit: str) -> float:
    return value / clock_lib.MINUTE if unit == "minutes" else value


def consensus_plots(found: dict) -> list[str]:
    """Returns plots of commit latency, recovery and replay."""
    latency = found["commit_latency"]
    drawn = [
        plots.bars_svg(
            f"commit latency, {load} load, {percentile[:-3]}",
            "ms",
            {name: each[load][percentile] for name, each in latency.items()},
        )
        for load in ("low", "burst")
        for percentile in ("p50_ms", "p99_ms")
    ]
    taken = enumerate(found["recovery_ms"], 1)
    recoveries = {f"trial {n}": took for n, took in taken}
    recoveries["replay of 10,000"] = found["replay_10000_ms"]
    drawn.append(
        plots.bars_svg("leader's end to next commit", "ms", recoveries)
    )
    return drawn


def request_plots(
    latency: list[requests.Latency], throughput: list[requests.Throughput]
) -> list[str]:
    """Returns plots of latency and of requests a second for each core."""
    medians = {each.name: each.median_ms for each in latency}
    slowest = {each.name: each.p99_ms for each in latency}
    rates = {f"{t.name}, entry": t.per_entry_core for t in throughput}
    rates |= {f"{t.name}, agent": t.per_agent_core for t in throughput}
    return [
        plots.bars_svg("request latency, median", "ms", medians),
        plots.bars_svg("request latency, 99th percentile", "ms", slowest),
        plots.bars_svg("requests a second for each core", "1/s", rates),
    ]


def read_slopes(path: pathlib.Path) -> list[model.Line]:
    """Returns the slopes of an earlier run, or none."""
    if not path.exists():
        return []
    return msgspec.json.decode(path.read_bytes(), type=list[model.Line])


def page(sections: dict[str, list[str]], note: str) -> str:
    """Returns the page; a section without plots says that it was not run."""
    parts = [f"<p>{html.escape(note)}</p>"]
    for title, drawn in sections.items():
        parts.append(f"<h2>{html.escape(title)}</h2>")
        parts += [f"<figure>{svg}</figure>" for svg in drawn]
        if not drawn:
            parts.append("<p>Not run.</p>")
    body = "\n".join(parts)
    return (
        "<!DOCTYPE html>\n<html lang='en'><meta charset='utf-8'>"
        f"<title>bilberryroute: measurements</title><style>{STYLE}</style>"
        f"<h1>bilberryroute: measurements</h1>\n{body}\n</html>\n"
    )


def main(
    *,
    seed: int = 1,
    requests_each: int = 300,
    decisions_files: list[str] = (),
    slopes_file: str = "report/slopes.json",
    out: str = "report/index.html",
) -> None:
    """Write the report.

    :param seed: Seed of all benches.
    :param requests_each: Requests of each kind.
    :param decisions_files: JSON of benchmarks.decisions; run now if none.
    :param slopes_file: JSON of benchmarks.slopes; left out if missing.
    :param out: Where the page goes.
    """
    before = slopes.machine()
    found = read_decisions(list(decisions_files), seed)
    sections = {
        f"Decisions: {each['deployment']}": decision_plots(each)
        for each in found
    }
    measured = asyncio.run(consensus.measure(seed))
    sections["Replicated log"] = consensus_plots(measured)
    latency, throughput = asyncio.run(requests.run_processes(requests_each))
    sections["Requests"] = request_plots(latency, throughput)
    lines = read_slopes(pathlib.Path(slopes_file))
    sections["Slopes"] = [plots.line_svg(line) for line in lines]
    note = f"Seed {seed}. Before: {before}. After: {slopes.machine()}."
    path = pathlib.Path(out)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(page(sections, note))
    print(f"wrote {out}")


if __name__ == "__main__":
    defopt.run(main, cli_options="has_default", no_negated_flags=True)
