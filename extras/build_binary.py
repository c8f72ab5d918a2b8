"""Builds the one-file program from the packages of this environment.

Nothing is downloaded: the locked packages that the program needs at run time
are copied from the environment's site-packages, and `shiv` packs them.
"""

import importlib.metadata
import pathlib
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterator

import defopt
from packaging import markers
from packaging import requirements

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGE = "bilberryroute"
ENTRY_POINT = f"{PACKAGE}.__main__:main"
SKIPPED = ("__pycache__", "*.pyc")


def runtime_distributions() -> list[importlib.metadata.Distribution]:
    """Returns the distributions that the program needs, by name."""
    found: dict[str, importlib.metadata.Distribution] = {}
    waiting = list(_required(importlib.metadata.distribution(PACKAGE), set()))
    while waiting:
        requirement = waiting.pop()
        name = requirement.name.lower()
        dist = importlib.metadata.distribution(name)
        if name not in found or requirement.extras:
            found[name] = dist
            waiting += _required(dist, requirement.extras)
    return [found[name] for name in sorted(found)]


def _required(
    dist: importlib.metadata.Distribution, extras: set[str]
) -> Iterator[requirements.Requirement]:
    for text in dist.requires or ():
        requirement = requirements.Requirement(text)
        if _applies(requirement.marker, extras):
            yield requirement


def _applies(marker: markers.Marker | None, extras: set[str]) -> bool:
    if marker is None:
        return True
    return any(marker.evaluate({"extra": each}) for each in extras | {""})


def copy_distribution(
    dist: importlib.metadata.Distribution, folder: pathlib.Path
) -> None:
    """Copies the installed files of a distribution."""
    for file in dist.files or ():
        # Scripts lie outside of site-packages; the program needs none.
        if ".." in file.parts or "__pycache__" in file.parts:
            continue
        target = folder / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(file.locate(), target)


def build(*, output: pathlib.Path = ROOT / "dist" / PACKAGE) -> None:
    """Builds the program.

    Args:
      output: File to write.
    """
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        for dist in runtime_distributions():
            copy_distribution(dist, folder)
        shutil.copytree(
            ROOT / PACKAGE,
            folder / PACKAGE,
            ignore=shutil.ignore_patterns(*SKIPPED),
        )
        _pack(folder, output)
    size_kib = output.stat().st_size // 1_024
    print(f"{output}: {size_kib} KiB")


def _pack(folder: pathlib.Path, output: pathlib.Path) -> None:
    subprocess.run(
        [
            *(sys.executable, "-m", "shiv", "--reproducible", "--compressed"),
            *("--site-packages", str(folder), "--entry-point", ENTRY_POINT),
            *("--output-file", str(output)),
        ],
        check=True,
    )


if __name__ == "__main__":
    defopt.run(build, cli_options="has_default", no_negated_flags=True)
