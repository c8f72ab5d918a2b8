"""Plots as SVG: lines through measured sizes, and bars."""

import io
import pathlib

import matplotlib

matplotlib.use("Agg")
# Equal figures give equal files.
matplotlib.rcParams["svg.hashsalt"] = "bilberryroute"

from matplotlib import figure as figures  # noqa: E402

from benchmarks import capacity_model as model  # noqa: E402

WIDTH_INCHES = 4.2
HEIGHT_INCHES = 2.8


def line_svg(line: model.Line) -> str:
    """Returns the plot of one slope up to the target size."""
    fig = _figure()
    axes = fig.subplots()
    ends = (0, max(line.target, *line.sizes))
    axes.plot(ends, [line.base + line.slope * end for end in ends], "C0-")
    axes.plot(line.sizes, line.values, "C0o", label="measured")
    axes.plot(line.target, line.figure, "C1s", label="at the target size")
    if line.budget is not None:
        axes.axhline(line.budget, color="C3", ls="--", label="budget")
    axes.set_title(f"{line.role}: {line.cost}", fontsize=9)
    axes.set_xlabel(f"{line.over}s", fontsize=8)
    axes.set_ylabel(line.unit, fontsize=8)
    axes.tick_params(labelsize=7)
    axes.set_ylim(bottom=min(0, *line.values))
    axes.legend(fontsize=7)
    return _svg(fig)


def bars_svg(title: str, unit: str, values: dict[str, float]) -> str:
    """Returns horizontal bars of named values."""
    fig = _figure()
    axes = fig.subplots()
    names = list(values)
    bars = axes.barh(names[::-1], [values[name] for name in names[::-1]])
    axes.bar_label(bars, fmt="%.4g", fontsize=7, padding=2)
    axes.set_title(title, fontsize=9)
    axes.set_xlabel(unit, fontsize=8)
    axes.tick_params(labelsize=7)
    axes.margins(x=0.2)
    return _svg(fig)


def file_name(line: model.Line) -> str:
    """Returns the name of a slope's plot, unique among the slopes."""
    words = f"{line.role} {line.cost} by {line.over}"
    plain = "".join(c if c.isalnum() else " " for c in words)
    return "-".join(plain.split()) + ".svg"


def draw(lines: list[model.Line], folder: pathlib.Path) -> None:
    """Writes one plot for each slope, in place of those of an earlier run."""
    folder.mkdir(parents=True, exist_ok=True)
    for old in folder.glob("*.svg"):
        old.unlink()
    for line in lines:
        (folder / file_name(line)).write_text(line_svg(line))


def _figure() -> figures.Figure:
    return figures.Figure(
        figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained"
    )


def _svg(fig: figures.Figure) -> str:
    buffer = io.StringIO()
    matplotlib.rcParams["svg.fonttype"] = "none"
    fig.savefig(buffer, format="svg", metadata={"Date": None})
    # The XML declaration has no place inside a page.
    drawn = buffer.getvalue()
    return drawn[drawn.index("<svg") :].replace(" \n", "\n")
