"""The program: arguments and an environment in, an exit status out."""

import contextlib
import logging
from collections.abc import Sequence

from bilberryroute import context
from bilberryroute import errors
from bilberryroute import status

_log = logging.getLogger(__name__)


def main(
    args: Sequence[str], env: context.Environment
) -> status.ExitStatus | int:
    """Runs one command.

    Errors end as one line on `env.stderr`, never as a traceback.

    Args:
      args: Arguments after the program's name.
      env: Streams, variables, clock and random source.

    Returns:
      The exit status; `docs/API.md` lists what each says.
    """
    with (
        contextlib.redirect_stdout(env.stdout),
        contextlib.redirect_stderr(env.stderr),
    ):
        try:
            return _run(args, env)
        except errors.BilberryrouteError as exc:
            env.print_error(str(exc))
            return exc.exit_status
        except SystemExit as exc:  # How argparse ends --help and bad usage.
            return int(exc.code or status.ExitStatus.SUCCESS)
        except (KeyboardInterrupt, BrokenPipeError):
            return status.ExitStatus.INTERRUPTED
        except Exception as exc:  # Users get no traceback.
            _log.debug("unexpected error", exc_info=True)
            env.print_error(f"unexpected {type(exc).__name__}: {exc}")
            return status.ExitStatus.ERROR


def _run(args: Sequence[str], env: context.Environment) -> status.ExitStatus:
    from bilberryroute.cli import run

    daemon = run.parse(args)
    if daemon is not None:
        return run.run_daemon(daemon, env)
    # Imported late: a daemon does not carry the parser of all commands.
    from bilberryroute.cli import parser

    return parser.parse(args)(env)
