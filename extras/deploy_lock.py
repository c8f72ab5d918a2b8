"""Writes the runtime part of `requirements.lock` for the users' platform."""

import importlib.metadata
import pathlib
import re
import tomllib
from collections.abc import Iterator

from packaging import requirements

ROOT = pathlib.Path(__file__).parent.parent
TARGET = ROOT / "deploy" / "requirements.txt"
HEADER = "# Runtime part of requirements.lock; `make deploy-lock` writes it.\n"


def _normal(name: str) -> str:
    return re.sub(r"[-_.]+", "-", name).lower()


def runtime_names() -> set[str]:
    """Returns all distributions that a running process needs."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    waiting = list(map(requirements.Requirement, project["dependencies"]))
    found: set[str] = set()
    while waiting:
        wanted = waiting.pop()
        found.add(_normal(wanted.name))
        for needed in _needed(wanted):
            if _normal(needed.name) not in found or needed.extras:
                waiting.append(needed)
    return found


def _needed(
    wanted: requirements.Requirement,
) -> Iterator[requirements.Requirement]:
    extras = wanted.extras or {""}
    for text in importlib.metadata.requires(wanted.name) or ():
        needed = requirements.Requirement(text)
        marker = needed.marker
        if marker is None or any(marker.evaluate({"extra": e}) for e in extras):
            yield needed


def render() -> str:
    """Returns the lines of the lock file that the runtime needs."""
    names = runtime_names()
    kept = [HEADER]
    keep = False
    lines = (ROOT / "requirements.lock").read_text().splitlines(keepends=True)
    for line in lines:
        if not line.startswith((" ", "#")):
            keep = _normal(re.split(r"==|\[", line)[0]) in names
        if keep and not line.lstrip().startswith("#"):
            kept.append(line)
    return "".join(kept)


if __name__ == "__main__":
    TARGET.write_text(render())
