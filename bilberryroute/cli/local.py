"""Commands that need no other process."""

import functools

import bilberryroute
from bilberryroute import context
from bilberryroute import status


def run(*, settings: str = ""):
    """Runs one process with the roles that its settings name.

    Without settings, one process on loopback holds all roles and keeps its
    state in the folder bilberryroute-data. SIGTERM stops it gracefully.

    Example::

      bilberryroute run --settings /etc/bilberryroute/entry.toml

    Args:
      settings: Settings file in TOML.
    """
    from bilberryroute.cli import run as run_lib

    daemon = run_lib.Daemon(settings=settings)
    return functools.partial(run_lib.run_daemon, daemon)


def check_settings(*files: str):
    """Checks settings files and reports all that is wrong with them.

    Several files are also checked against each other, as the processes of
    one deployment.

    Example::

      bilberryroute check-settings /etc/bilberryroute/entry.toml

    Args:
      files: Settings files in TOML.
    """
    return functools.partial(_check_settings, files)


def _check_settings(
    files: tuple[str, ...], env: context.Environment
) -> status.ExitStatus:
    from bilberryroute import settings_check

    for path, cfg in zip(files, settings_check.load_all(files), strict=True):
        roles = "+".join(cfg.roles)
        env.stdout.write(f"{path}: usable, host {cfg.host}, roles {roles}\n")
    return status.ExitStatus.SUCCESS


def version():
    """Prints the program's version.

    Example::

      bilberryroute version
    """
    return _print_version


def _print_version(env: context.Environment) -> status.ExitStatus:
    env.stdout.write(f"bilberryroute {bilberryroute.__version__}\n")
    return status.ExitStatus.SUCCESS
