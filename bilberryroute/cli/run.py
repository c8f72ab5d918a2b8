"""Starts a daemon: takes what others wait for, then loads the rest.

Most of a start is the loading of code. A caller or worker that connects
meanwhile waits for the process instead of being refused.
"""

import argparse
import dataclasses
from collections.abc import Sequence

from bilberryroute import context
from bilberryroute import errors
from bilberryroute import settings
from bilberryroute import status
from bilberryroute.consensus import reservations
from bilberryroute.platform import settings as platform_settings
from bilberryroute.transport import listening

# Roles whose HTTP server callers, endpoints or workers connect to.
_AWAITED_ROLES = {settings.ProcessRole.ENTRY, settings.ProcessRole.AGENT}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Daemon:
    """The command line of `run`.

    Attributes:
      settings: Settings file; empty for the embedded system.
      platform: Role to take on the users' platform, whose own settings file
        is read; empty elsewhere.
    """

    settings: str = ""
    platform: str = ""


def parse(args: Sequence[str]) -> Daemon | None:
    """Returns the daemon asked for, or None for anything else.

    Parses only `run` with its two options, so that a daemon need not import the
    modules of the whole command line. `cli.parser` handles everything else and
    prints help and errors.
    """
    if list(args[:1]) != ["run"]:
        return None
    parser = argparse.ArgumentParser(
        add_help=False, allow_abbrev=False, exit_on_error=False
    )
    parser.add_argument("--settings", default="")
    parser.add_argument(
        "--platform", default="", choices=[*settings.ProcessRole, ""]
    )
    try:
        known, rest = parser.parse_known_args(args[1:])
    except argparse.ArgumentError:
        return None
    if rest:
        return None
    return Daemon(settings=known.settings, platform=known.platform)


def run_daemon(daemon: Daemon, env: context.Environment) -> status.ExitStatus:
    """Runs one process until a signal or a failure stops it.

    Raises:
      errors.SettingsError: If the settings cannot be used.
      errors.BilberryrouteError: If a service fails.
    """
    place = _load_place(daemon, env)
    cfg = place.settings if place is not None else _load(daemon)
    if cfg.data_folder and settings.ProcessRole.REPLICA in cfg.roles:
        reservations.reserve(cfg.data_folder, env.clock)
    for address in _awaited_addresses(cfg, place):
        _listen(address, env)
    from bilberryroute.cli import serving

    return serving.run_until_stopped(cfg, env, place)


def _awaited_addresses(
    cfg: settings.Settings, place: platform_settings.PlatformSettings | None
) -> list[str]:
    """Returns the addresses whose clients gain by waiting for this process."""
    if place is not None:
        return place.awaited_addresses()
    return [cfg.listen.http] if _AWAITED_ROLES.intersection(cfg.roles) else []


def _listen(address: str, env: context.Environment) -> None:
    try:
        listening.open_early(address, env.clock)
    except OSError as exc:
        raise errors.CannotListen(f"cannot listen on {address}: {exc}") from exc


def _load(daemon: Daemon) -> settings.Settings:
    from bilberryroute import settings_check

    if daemon.settings:
        return settings_check.load(daemon.settings)
    from bilberryroute import embedded

    cfg = embedded.embedded_settings()
    settings_check.raise_if_any(
        settings_check.check_values("embedded system", cfg)
    )
    return cfg


def _load_place(
    daemon: Daemon, env: context.Environment
) -> platform_settings.PlatformSettings | None:
    """Loads the settings file of the users' platform, if it runs there."""
    if not daemon.platform:
        return None
    path = env.variables.get(platform_settings.VARIABLE, "")
    return platform_settings.load(path, settings.ProcessRole(daemon.platform))
