"""Command line: names of the commands and the functions that carry them out.

Each function returns an action, which runs in an environment.
"""

import functools
from collections.abc import Callable
from collections.abc import Sequence

import defopt

import bilberryroute
from bilberryroute import context
from bilberryroute import status
from bilberryroute.cli import batches
from bilberryroute.cli import jobs
from bilberryroute.cli import local
from bilberryroute.cli import replicas
from bilberryroute.cli import requests
from bilberryroute.cli import system
from bilberryroute.cli import tickets
from bilberryroute.cli import trace

Action = Callable[[context.Environment], status.ExitStatus]

_DESCRIPTION = """\
Schedules jobs and requests of client accounts on a fixed set of accelerators.

example:

    bilberryroute run &
    bilberryroute ticket apply extras/tickets/1.toml
    bilberryroute status"""

COMMANDS = {
    "run": local.run,
    "check-settings": local.check_settings,
    "ticket": {"apply": tickets.apply, "show": tickets.show},
    "job": {
        "submit": jobs.submit,
        "show": jobs.show,
        "list": jobs.list_jobs,
        "cancel": jobs.cancel,
    },
    "batch": {
        "submit": batches.submit,
        "show": batches.show,
        "list": batches.list_jobs,
        "cancel": batches.cancel,
    },
    "catalog": {"apply": batches.apply_catalog, "show": batches.show_catalog},
    "replica": {
        "list": replicas.list_replicas,
        "add": replicas.add,
        "promote": replicas.promote,
        "remove": replicas.remove,
    },
    "request": requests.send,
    "status": system.show_status,
    "trace": trace.trace,
    "drain": system.drain,
    "version": local.version,
}


def parse(args: Sequence[str]) -> Action:
    """Returns the action that the arguments ask for.

    Raises:
      SystemExit: After printing help, or on arguments that do not fit.
    """
    call: functools.partial[Action] = defopt.bind(
        COMMANDS,
        argv=list(args),
        cli_options="has_default",
        no_negated_flags=True,
        short={},
        version=bilberryroute.__version__,
        show_defaults=False,
        argparse_kwargs={
            "prog": "bilberryroute",
            "description": _DESCRIPTION,
            "allow_abbrev": False,
        },
    )
    return call()
