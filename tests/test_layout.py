"""The workspace keeps its layout: decision logic imports no input or output."""

import ast
import gc
import pathlib
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
BANNED = {
    "asyncio",
    "socket",
    "time",
    "random",
    "aiohttp",
    "sanic",
    "uvloop",
    "secrets",
}


def imported_modules(path):
    # See parse_without_gc in test_docs.py.
    gc.disable()
    tree = ast.parse(path.read_text())
    gc.enable()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            for alias in node.names:
                yield alias.name.split(".")[0]
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module.split(".")[0]


def test_decision_logic_does_no_input_or_output():
    for library in ("policy", "coordination", "routing", "ports"):
        for path in (ROOT / "libs" / library).glob("gypsumusher_*/*.py"):
            assert not BANNED & set(imported_modules(path)), path


# Names that only the adapter of the users' platform may know.
WIRE_NAMES = (
    "X-Gypsumusher-",
    "x-gypsumusher-",
    "kv_",
    "path_prefix",
    "goal_ms",
    "timeout_ms",
    "drain_ms",
    "grace_s",
    "/v1/objects",
    "/v1/kv-",
    "/v1/order",
    "/v1/resolve",
    "/v1/readyz",
)
# The product's own field names that begin as one on the wire does.
OWN_NAMES = ("kv_tokens", "kv_token_bytes", "kv_source", "kv_fetch", "path_prefix")


def test_only_the_adapter_knows_the_platform_s_names():
    # A name of the wire that spreads has to be changed everywhere when the wire does,
    # and is decoded twice, in two ways, long before.
    for library in ("ports", "routing", "entry", "process", "http"):
        for path in (ROOT / "libs" / library).glob("gypsumusher_*/*.py"):
            text = path.read_text()
            for name in OWN_NAMES:
                text = text.replace(name, "")
            found = [name for name in WIRE_NAMES if name in text]
            assert not found, (path, found)


# What the adapter may use of the product: types, and the means of making a call.
ADAPTER_USES = ("gypsumusher_platform", "gypsumusher_ports", "gypsumusher_http")


def test_the_adapter_is_small_and_decides_nothing():
    lines = 0
    for path in (ROOT / "platform" / "gypsumusher_platform").glob("*.py"):
        lines += len(path.read_text().splitlines())
        for name in imported_modules(path):
            is_own = not name.startswith("gypsumusher_")
            assert is_own or name in ADAPTER_USES, path
    assert lines < 2000


def test_flat_folders_hold_no_two_modules_of_one_name():
    """A whole test run imports the bench's module in place of the soak's.

    Each alone passes: the folders stand on one search path, and the first wins.
    """
    settings = tomllib.loads((ROOT / "pyproject.toml").read_text())
    folders = settings["tool"]["pytest"]["ini_options"]["pythonpath"]
    found = {}
    for folder in folders:
        for path in (ROOT / folder).glob("*.py"):
            assert path.name not in found, (folder, found[path.name], path.name)
            found[path.name] = folder
    assert len(found) > 20


def test_an_entry_host_starts_without_libraries_that_are_slow_to_import():
    """After the loss of all hosts each waits for its imports before it serves."""
    script = (
        "import sys, gypsumusher_entry.cmdline\n"
        "slow = {'aiohttp', 'sanic', 'logbook', 'aioprometheus', 'numpy', 'cleo'}\n"
        "print(*slow & set(sys.modules))"
    )
    command = [sys.executable, "-c", script]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    assert done.stdout.split() == []
