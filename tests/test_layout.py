"""The workspace keeps its layout: decision logic imports no input or output."""

import ast
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
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            for alias in node.names:
                yield alias.name.split(".")[0]
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module.split(".")[0]


def test_decision_logic_does_no_input_or_output():
    for library in ("policy", "coordination"):
        for path in (ROOT / "libs" / library).glob("gypsumusher_*/*.py"):
            assert not BANNED & set(imported_modules(path)), path
