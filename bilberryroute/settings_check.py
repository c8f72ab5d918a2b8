"""Validation of settings: all problems of a file at once.

Reading is in two steps: each key is checked for existence and type, then, if
all have passed, the values are checked against each other.
"""

import dataclasses
import pathlib
import tomllib
import types
import typing
from collections.abc import Iterator
from collections.abc import Sequence
from typing import Any

import msgspec

from bilberryroute import errors
from bilberryroute import settings
from bilberryroute import settings_rules


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SettingsProblem:
    """One thing wrong with one key of one file.

    Attributes:
      file: Path of the settings file.
      key: Dotted path of the key, or empty for the file as a whole.
      message: What is wrong.
      seen: The value seen, as shown to the reader.
      remedy: What to do about it.
    """

    file: str
    key: str
    message: str
    seen: str = ""
    remedy: str

    def __str__(self) -> str:
        place = f"{self.file}: {self.key}" if self.key else self.file
        seen = f", seen {self.seen}" if self.seen else ""
        return f"{place}: {self.message}{seen}; {self.remedy}"


def load(path: str) -> settings.Settings:
    """Returns the settings of one process.

    Raises:
      errors.SettingsError: With all problems found.
    """
    return load_all([path])[0]


def load_all(paths: Sequence[str]) -> list[settings.Settings]:
    """Returns the settings of the processes of one deployment.

    Raises:
      errors.SettingsError: With all problems found, those between the files
        included.
    """
    problems: list[SettingsProblem] = []
    loaded: dict[str, settings.Settings] = {}
    for path in paths:
        cfg, found = check(path)
        problems += found
        if cfg is not None:
            loaded[path] = cfg
    problems += check_together(loaded)
    raise_if_any(problems)
    return list(loaded.values())


def raise_if_any(problems: Sequence[SettingsProblem]) -> None:
    """Raises one error that lists all problems, if there are any.

    Raises:
      errors.SettingsError: With all problems.
    """
    if not problems:
        return
    lines = "".join(f"\n  {problem}" for problem in problems)
    count = len(problems)
    noun = "problem" if count == 1 else "problems"
    raise errors.SettingsError(f"{count} {noun} in the settings:{lines}")


def check(path: str) -> tuple[settings.Settings | None, list[SettingsProblem]]:
    """Returns the settings of a file if usable, and all problems found."""
    try:
        raw = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except OSError as exc:
        return None, [_file_problem(path, f"cannot be read: {exc.strerror}")]
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        return None, [_file_problem(path, f"is no TOML: {exc}")]
    problems = list(_check_table(path, "", raw, settings.Settings))
    if problems:
        return None, problems
    cfg = msgspec.convert(raw, settings.Settings)
    problems = check_values(path, cfg)
    return (None if problems else cfg), problems


def check_values(path: str, cfg: settings.Settings) -> list[SettingsProblem]:
    """Returns the problems of settings whose keys and types are right."""
    return [
        _from_finding(path, finding) for finding in settings_rules.check(cfg)
    ]


def check_together(
    loaded: dict[str, settings.Settings],
) -> list[SettingsProblem]:
    """Returns the problems between the files of one deployment."""
    return [
        _from_finding(path, finding)
        for path, finding in settings_rules.check_together(loaded)
    ]


def _file_problem(path: str, message: str) -> SettingsProblem:
    return SettingsProblem(
        file=path,
        key="",
        message=message,
        remedy="name a readable TOML file, see the samples under extras/",
    )


def _from_finding(
    path: str, finding: settings_rules.Finding
) -> SettingsProblem:
    return SettingsProblem(
        file=path,
        key=finding.key,
        message=finding.message,
        seen=finding.seen,
        remedy=finding.remedy,
    )


def _check_table(
    path: str, prefix: str, raw: dict[str, Any], kind: type[msgspec.Struct]
) -> Iterator[SettingsProblem]:
    fields = {f.name: f for f in msgspec.structs.fields(kind)}
    for name in (name for name in raw if name not in fields):
        yield SettingsProblem(
            file=path,
            key=prefix + name,
            message="unknown key",
            seen=repr(raw[name]),
            remedy=f"remove it; known here: {', '.join(fields)}",
        )
    for name, field in fields.items():
        if name in raw:
            yield from _check_value(path, prefix + name, raw[name], field.type)
        elif field.required:
            yield SettingsProblem(
                file=path,
                key=prefix + name,
                message="missing",
                remedy="set it, see docs/operations/settings.md",
            )


def _check_value(
    path: str, key: str, value: Any, kind: Any
) -> Iterator[SettingsProblem]:
    if _is_struct(kind) and isinstance(value, dict):
        yield from _check_table(path, f"{key}.", value, kind)
        return
    item = _item_type(kind)
    if item is not None and isinstance(value, list):
        for index, each in enumerate(value):
            yield from _check_value(path, f"{key}[{index}]", each, item)
        return
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as exc:
        yield SettingsProblem(
            file=path,
            key=key,
            message=str(exc),
            seen=repr(value),
            remedy=f"give {_type_words(kind)}",
        )


def _is_struct(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _item_type(kind: Any) -> Any:
    """Returns the type of the items of `tuple[T, ...]`, else None."""
    match typing.get_origin(kind), typing.get_args(kind):
        case type() as origin, (item, types.EllipsisType()) if origin is tuple:
            return item
    return None


def _type_words(kind: Any) -> str:
    if _item_type(kind) is not None:
        return "a list"
    if _is_struct(kind):
        return "a table"
    if isinstance(kind, type) and issubclass(kind, settings.ProcessRole):
        return "one of " + ", ".join(settings.ProcessRole)
    return {int: "a whole number", str: "a string"}.get(kind, str(kind))
