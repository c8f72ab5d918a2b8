import pathlib
import re

import pytest

from benchmarks import capacity_model as model
from benchmarks import capacity_plots as plots
from benchmarks import capacity_state
from benchmarks import report

PAGE = pathlib.Path(__file__).parents[1] / "docs" / "CAPACITY.md"


def make_line(budget=None, values=(3.0, 5.0, 9.0)):
    return model.Line(
        role="agent",
        cost="processor",
        unit="%",
        over="worker",
        sizes=(1, 2, 4),
        values=values,
        target=10,
        budget=budget,
    )


def test_line_reaches_target():
    line = make_line()
    assert line.slope == pytest.approx(2)
    assert line.base == pytest.approx(1)
    assert line.figure == pytest.approx(21)


@pytest.mark.parametrize(
    ("budget", "verdict"),
    [(None, "no budget"), (22, "within"), (10.5, "misses, 2.0 times")],
)
def test_verdict(budget, verdict):
    assert make_line(budget).verdict == verdict
    assert verdict in model.table([make_line(budget)])


def test_state_grows_with_each_record():
    lines = capacity_state.state_lines() + capacity_state.message_lines()
    assert all(line.slope > 0 for line in lines)
    assert all(len(line.sizes) >= 3 for line in lines)


def test_plots_have_a_name_each_and_repeat():
    lines = capacity_state.state_lines() + capacity_state.message_lines()
    assert len({plots.file_name(line) for line in lines}) == len(lines)
    assert plots.line_svg(lines[0]) == plots.line_svg(lines[0])


def test_page_says_what_was_not_run():
    svg = plots.bars_svg("title", "ms", {"a": 1.0})
    shown = report.page({"Requests": [svg], "Slopes": []}, "a < b")
    assert "<svg" in shown
    assert "Not run." in shown
    assert "a &lt; b" in shown


def test_links_of_the_page_exist():
    links = re.findall(r"\]\(([^)#]+)", PAGE.read_text())
    assert len(links) > 5
    assert [each for each in links if not (PAGE.parent / each).exists()] == []


def test_page_names_tests_that_exist():
    root = PAGE.parents[1]
    names = re.findall(r"`(tests/[\w/]+\.py)`", PAGE.read_text())
    assert names
    assert [each for each in names if not (root / each).exists()] == []
