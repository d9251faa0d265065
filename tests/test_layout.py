"""The workspace keeps its layout: decision logic imports no input or output."""

import ast
import gc
import pathlib

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
    for library in ("policy", "coordination"):
        for path in (ROOT / "libs" / library).glob("gypsumusher_*/*.py"):
            assert not BANNED & set(imported_modules(path)), path
