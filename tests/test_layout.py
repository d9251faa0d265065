"""Layout of the workspace and import restrictions of its packages."""

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


def test_decision_logic_imports_no_io_modules():
    for library in ("policy", "coordination", "routing", "ports"):
        for path in (ROOT / "libs" / library).glob("gypsumusher_*/*.py"):
            assert not BANNED & set(imported_modules(path)), path


# Wire names that only the adapter for the users' platform may contain.
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
# Internal field names that equal a wire name or start like one.
INTERNAL_NAMES = ("kv_tokens", "kv_token_bytes", "kv_source", "kv_fetch", "path_prefix")


def test_only_the_adapter_contains_wire_names():
    # A wire name used elsewhere has to be changed in every place when the protocol
    # changes, and leads to a second, different decoder for the same field.
    for library in ("ports", "routing", "entry", "process", "http"):
        for path in (ROOT / "libs" / library).glob("gypsumusher_*/*.py"):
            text = path.read_text()
            for name in INTERNAL_NAMES:
                text = text.replace(name, "")
            found = [name for name in WIRE_NAMES if name in text]
            assert not found, (path, found)


# The adapter may import only types and the library that makes HTTP calls.
ADAPTER_IMPORTS = ("gypsumusher_platform", "gypsumusher_ports", "gypsumusher_http")


def test_adapter_is_small_and_imports_no_decision_logic():
    lines = 0
    for path in (ROOT / "platform" / "gypsumusher_platform").glob("*.py"):
        lines += len(path.read_text().splitlines())
        for name in imported_modules(path):
            is_external = not name.startswith("gypsumusher_")
            assert is_external or name in ADAPTER_IMPORTS, path
    assert lines < 2000


def test_module_names_are_unique_across_flat_folders():
    """Guards against importing a module of the same name from another folder.

    A full test run would import the bench's module in place of the soak's, although
    each suite passes alone: all folders are on one search path, and the first wins.
    """
    settings = tomllib.loads((ROOT / "pyproject.toml").read_text())
    folders = settings["tool"]["pytest"]["ini_options"]["pythonpath"]
    found = {}
    for folder in folders:
        for path in (ROOT / folder).glob("*.py"):
            assert path.name not in found, (folder, found[path.name], path.name)
            found[path.name] = folder
    assert len(found) > 20


def test_entry_host_imports_no_slow_libraries():
    """Guards against slow recovery: a restarted host serves only after its imports."""
    script = (
        "import sys, gypsumusher_entry.cmdline\n"
        "slow = {'aiohttp', 'sanic', 'logbook', 'aioprometheus', 'numpy', 'cleo'}\n"
        "print(*slow & set(sys.modules))"
    )
    command = [sys.executable, "-c", script]
    completed = subprocess.run(command, capture_output=True, text=True, check=True)
    assert completed.stdout.split() == []
