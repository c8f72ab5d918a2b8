import pytest

import bilberryroute
from bilberryroute import core
from bilberryroute import status
from bilberryroute.cli import parser
from bilberryroute.cli import run
from tests.utils import environment


def commands(tree, path=()):
    for name, entry in tree.items():
        if callable(entry):
            yield (*path, name)
        else:
            yield from commands(entry, (*path, name))


@pytest.mark.parametrize("words", list(commands(parser.COMMANDS)), ids=" ".join)
def test_help_shows_an_example(words):
    env = environment.fake_environment()
    assert core.main([*words, "--help"], env) == status.ExitStatus.SUCCESS
    example = "bilberryroute " + " ".join(words)
    assert f"Example:\n\n    {example}" in env.stdout.getvalue()
    assert env.stderr.getvalue() == ""


@pytest.mark.parametrize(
    ("args", "expected", "message"),
    [
        ([], status.ExitStatus.USAGE, "too few arguments"),
        (["bogus"], status.ExitStatus.USAGE, "invalid choice"),
        (["ticket", "show", "x"], status.ExitStatus.USAGE, "invalid int"),
        (["ticket", "apply", "/none"], status.ExitStatus.USAGE, "/none"),
        (["run", "--bogus"], status.ExitStatus.USAGE, "--bogus"),
        (["run", "--settings"], status.ExitStatus.USAGE, "--settings"),
        (["run", "--settings", "/none"], status.ExitStatus.SETTINGS, "/none"),
        (["check-settings", "/none"], status.ExitStatus.SETTINGS, "/none"),
        (["drain", "--entry", "x"], status.ExitStatus.USAGE, "http://ip:port"),
        (["status", "--token-file", "/none"], status.ExitStatus.USAGE, "/none"),
        (
            ["status", "--entry", "http://127.0.0.1:1"],
            status.ExitStatus.UNAVAILABLE,
            "cannot reach",
        ),
    ],
)
def test_bad_input_ends_with_one_message(args, expected, message):
    env = environment.fake_environment()
    assert core.main(args, env) == expected
    assert env.stdout.getvalue() == ""
    assert "error: " in env.stderr.getvalue()
    assert message in env.stderr.getvalue()
    assert "Traceback" not in env.stderr.getvalue()


def test_version():
    env = environment.fake_environment()
    assert core.main(["version"], env) == status.ExitStatus.SUCCESS
    expected = f"bilberryroute {bilberryroute.__version__}\n"
    assert env.stdout.getvalue() == expected


def test_daemon_is_parsed_without_the_commands():
    assert run.parse(["run"]) == run.Daemon()
    parsed = run.parse(["run", "--settings", "a.toml"])
    assert parsed == run.Daemon(settings="a.toml")
    assert run.parse(["run", "--help"]) is None
    assert run.parse(["status"]) is None


def test_unexpected_error_shows_no_traceback(monkeypatch):
    def fail(args):
        raise KeyError("x")

    monkeypatch.setattr(run, "parse", fail)
    env = environment.fake_environment()
    assert core.main(["run"], env) == status.ExitStatus.ERROR
    assert env.stderr.getvalue().startswith("bilberryroute: error: unexpected")
    assert "Traceback" not in env.stderr.getvalue()
