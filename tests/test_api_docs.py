"""docs/API.md says what the code does."""

import pathlib
import re
import tomllib

import msgspec
import pytest

from bilberryroute import api
from bilberryroute import context
from bilberryroute import embedded
from bilberryroute import errors
from bilberryroute import metrics as metrics_lib
from bilberryroute import process
from bilberryroute import settings
from bilberryroute import status
from bilberryroute.cli import parser
from bilberryroute.entry import operator_models
from bilberryroute.routing import protocol

ROOT = pathlib.Path(__file__).parent.parent
API = (ROOT / "docs" / "API.md").read_text()
SETTINGS = (ROOT / "docs" / "operations" / "settings.md").read_text()

PUBLIC_MODULES = (errors.__name__, api.__name__)
CALLERS_HEADERS = (
    protocol.ACCOUNT_HEADER,
    protocol.REQUEST_ID_HEADER,
    protocol.IDEMPOTENT_HEADER,
    protocol.DEADLINE_HEADER,
    protocol.RESEND_HEADER,
    protocol.OUTCOME_HEADER,
    protocol.ATTEMPTS_HEADER,
)


def public_kinds():
    return [
        kind for kind in errors.all_kinds() if kind.__module__ in PUBLIC_MODULES
    ]


def kind_row(kind):
    return (
        f"| `{kind.kind}` | {int(kind.http_status)} | {kind.outcome}"
        f" | {int(kind.exit_status)} |"
    )


def rows(title):
    """Returns the table rows of one section."""
    section = API.split(f"## {title}\n")[1].split("\n## ")[0]
    return [x for x in section.splitlines() if x.startswith("| `")]


def test_kinds_are_those_of_the_code():
    documented = {
        " |".join(row.split(" |")[:4]) + " |" for row in rows("Problem kinds")
    }
    expected = {kind_row(kind) for kind in public_kinds()}
    assert documented == expected


async def test_routes_are_those_of_the_code(tmp_path):
    cfg = embedded.embedded_settings(str(tmp_path))
    built = process.build(cfg, context.Environment())
    served = {
        f"{route.method} {route.resource.canonical}"
        for route in built.http.app.router.routes()
        if route.method != "HEAD"
    }
    documented = set(re.findall(r"^#+ `([A-Z]+ /\S*)`", API, re.MULTILINE))
    assert documented == served


def test_exit_statuses_are_those_of_the_code():
    documented = {
        (int(code), name)
        for code, name in re.findall(r"^\| (\d+) \| `(\w+)` \|", API, re.M)
    }
    assert documented == {(int(s), s.name) for s in status.ExitStatus}


@pytest.mark.parametrize("name", CALLERS_HEADERS)
def test_headers_are_documented(name):
    assert f"`{name}`" in API


def test_metrics_are_documented():
    for name in metrics_lib.Metrics().registry.collectors:
        assert f"`{name}" in API


def test_commands_are_documented():
    for name in parser.COMMANDS:
        assert f"`{name}" in API


def settings_keys(kind, prefix=""):
    for field in msgspec.structs.fields(kind):
        inner = field.type
        if isinstance(inner, type) and issubclass(inner, msgspec.Struct):
            yield from settings_keys(inner, f"{prefix}{field.name}.")
        else:
            yield f"{prefix}{field.name}"


@pytest.mark.parametrize("key", list(settings_keys(settings.Settings)))
def test_settings_are_documented(key):
    assert f"| `{key}` |" in SETTINGS


@pytest.mark.parametrize(
    "name", [f.name for f in msgspec.structs.fields(settings.ReplicaAddress)]
)
def test_replica_keys_are_documented(name):
    assert f"| `replicas.{name}` |" in SETTINGS


def readme_digests():
    text = (ROOT / "README.md").read_text()
    return re.findall(r"digest: +([0-9a-f]{64})", text)


@pytest.mark.parametrize("number", [1, 2])
def test_readme_shows_the_tickets_that_it_names(number):
    path = ROOT / "extras" / "tickets" / f"{number}.toml"
    model = msgspec.convert(
        tomllib.loads(path.read_text()), operator_models.TicketModel
    )
    ticket = operator_models.to_ticket(model)
    assert ticket.number == number
    assert operator_models.digest(ticket) == readme_digests()[number - 1]


def test_links_of_the_readme_exist():
    text = (ROOT / "README.md").read_text()
    for target in re.findall(r"\]\(([^)]+)\)", text):
        assert (ROOT / target).is_file(), target
