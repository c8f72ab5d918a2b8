"""Builds as the users' platform does, by the command in its deploy file."""

import pathlib
import subprocess
import tomllib

ROOT = pathlib.Path(__file__).parent.parent


def main() -> None:
    """Runs the build command in a shell at the root of the repository."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    subprocess.run(deploy["build"], shell=True, cwd=ROOT, check=True)


if __name__ == "__main__":
    main()
