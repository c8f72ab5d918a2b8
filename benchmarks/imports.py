"""Memory by role: what a process holds once its role is built.

Each figure comes from a fresh process. The first table follows the imports
that roles share, step by step; the second builds each role, not started.
"""

import json
import subprocess
import sys
import tempfile

import defopt

KIB = 1_024

STEPS = (
    ("bare interpreter", ""),
    ("asyncio", "import asyncio"),
    ("mode", "from mode import Service"),
    ("msgspec", "import msgspec"),
    ("aiohttp", "import aiohttp.web"),
    ("aioprometheus", "import aioprometheus"),
    ("python-json-logger", "import bilberryroute.logs"),
    ("grpc.aio", "import grpc.aio"),
    ("defopt", "import defopt"),
)

ROLES = (
    ("agent",),
    ("entry",),
    ("replica",),
    ("replica", "entry", "agent"),
)

_REPORT = """
import json, re, sys
text = open("/proc/self/status").read()
found = {
    name: int(re.search(name + r":\\s+(\\d+)", text)[1])
    for name in ("VmRSS", "RssAnon", "RssFile")
}
found["modules"] = len(sys.modules)
found["grpc"] = "grpc" in sys.modules
found["defopt"] = "defopt" in sys.modules or "docutils" in sys.modules
found["scheduling"] = "bilberryroute.scheduling" in sys.modules
if "msgspec" in sys.modules:
    import gc, msgspec
    found["decoders"] = sum(
        type(each) is msgspec.msgpack.Decoder for each in gc.get_objects()
    )
print(json.dumps(found))
"""

_BUILD = """
import dataclasses, msgspec
from bilberryroute import context, embedded, settings
from bilberryroute.cli import serving
from bilberryroute import logs, process, settings_check
cfg = msgspec.structs.replace(
    embedded.embedded_settings({folder!r}),
    roles=tuple(settings.ProcessRole(name) for name in {roles!r}),
)
import asyncio
async def build():
    return process.build(cfg, context.Environment())
built = asyncio.run(build())
"""


def measure(code: str) -> dict:
    """Returns the memory figures of a fresh process that runs the code."""
    done = subprocess.run(
        [sys.executable, "-c", code + _REPORT],
        check=True,
        capture_output=True,
        text=True,
    )
    return json.loads(done.stdout.splitlines()[-1])


def measure_role(roles: tuple[str, ...]) -> dict:
    """Returns the memory figures of a process with the roles built."""
    with tempfile.TemporaryDirectory() as folder:
        return measure(_BUILD.format(folder=folder, roles=roles))


def print_tables(*, json_lines: bool = False) -> None:
    """Prints both tables.

    Args:
      json_lines: Print one JSON object for each row instead.
    """
    rows = []
    code = ""
    for name, step in STEPS:
        code += step + "\n"
        rows.append((f"+ {name}", measure(code)))
    rows += [("+".join(roles), measure_role(roles)) for roles in ROLES]
    if json_lines:
        for name, found in rows:
            print(json.dumps({"name": name} | found))
        return
    print("| after | resident MiB | anonymous MiB | modules | grpc | defopt |")
    print("| --- | --- | --- | --- | --- | --- |")
    for name, found in rows:
        print(
            f"| {name} | {found['VmRSS'] / KIB:.1f}"
            f" | {found['RssAnon'] / KIB:.1f} | {found['modules']}"
            f" | {_yes(found['grpc'])} | {_yes(found['defopt'])} |"
        )


def _yes(value: bool) -> str:
    return "yes" if value else "no"


if __name__ == "__main__":
    defopt.run(print_tables, cli_options="has_default", no_negated_flags=True)
