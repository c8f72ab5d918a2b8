"""Checks that the stand-ins can be loaded with the libraries of the build."""

import compileall
import pathlib

from review.standins import deployment
from review.standins import runner


def main() -> None:
    """Compiles and loads all stand-ins and cases."""
    folder = pathlib.Path(__file__).resolve().parents[1]
    if not compileall.compile_dir(folder, quiet=1):
        raise SystemExit("a file cannot be compiled")
    print(f"{deployment.__name__} and {runner.__name__} can be loaded")


if __name__ == "__main__":
    main()
