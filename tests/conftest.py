"""Passes over the failures listed in KNOWN-RED.txt, and prints them."""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def _known_red() -> set[str]:
    """Returns the ids of the tests listed: lines that start at the margin."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.strip() for line in lines if line.startswith("tests/")}


def pytest_collection_modifyitems(items):
    """Lets the tests listed run without failing the whole."""
    known = _known_red()
    for item in items:
        if item.nodeid in known:
            reason = "listed in KNOWN-RED.txt"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter):
    """Prints what became of the tests listed."""
    known = _known_red()
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.stats.get(outcome, []):
            if report.nodeid in known:
                terminalreporter.write_line(
                    f"KNOWN-RED {outcome}: {report.nodeid}"
                )
