"""The docs list the commands, settings, metrics and log events of the code."""

import ast
import gc
import pathlib
import re
import shlex

from gypsumusher_cli.cmdline import COMMANDS
from gypsumusher_coordination import (
    DEPLOYMENT_DEFAULTS,
    HOSTS_DEFAULTS,
    SERVICE_DEFAULTS,
)
from gypsumusher_daemon.refusals import STATUS_BY_CODE
from gypsumusher_daemon.settings import REQUIRED, SETTINGS

ROOT = pathlib.Path(__file__).resolve().parent.parent
DOCS = ROOT / "docs"
PAGES = sorted([ROOT / "README.md", *DOCS.glob("**/*.md")])
OPERATING = (DOCS / "OPERATING.md").read_text()
DAEMON = ROOT / "libs" / "daemon" / "gypsumusher_daemon"
PROCESS = ROOT / "libs" / "process" / "gypsumusher_process"
# What the daemon runs, with the modules that log in its name.
DAEMON_MODULES = [
    *sorted(DAEMON.glob("*.py")),
    PROCESS / "background.py",
    PROCESS / "settings_file.py",
]
COMMANDS_BY_NAME = {command.name: command for command in COMMANDS}
COMMON_OPTIONS = {"help", "version", "quiet", "verbose", "no-interaction"}


def page_of(name):
    return DOCS / "commands" / f"{name.replace(' ', '-')}.md"


def option_names(command):
    return {option.name for option in command.options}


def code_lines(path):
    """Yield the shell lines of a page's code blocks, with continuation lines joined."""
    blocks = re.findall(r"```sh\n(.*?)```", path.read_text(), re.DOTALL)
    for block in blocks:
        yield from block.replace("\\\n", " ").splitlines()


def split_command(words):
    """Return the command's name and its remaining words."""
    for length in (2, 1):
        name = " ".join(words[:length])
        if name in COMMANDS_BY_NAME:
            return name, words[length:]
    return " ".join(words[:1]), words[1:]


def test_commands_and_command_pages_match():
    pages = {path.name for path in (DOCS / "commands").glob("*.md")}
    wanted = {page_of(name).name for name in COMMANDS_BY_NAME}
    assert pages - {"README.md"} == wanted


def test_command_page_lists_exactly_its_arguments_and_options():
    for name, command in COMMANDS_BY_NAME.items():
        text = page_of(name).read_text()
        rows = set(re.findall(r"^\| `([\w-]+)` \|", text, re.MULTILINE))
        arguments = {argument.name for argument in command.arguments}
        options = {f"--{option}" for option in option_names(command)}
        assert {row for row in rows if row.startswith("--")} == options, name
        assert arguments <= rows, name


def test_command_lines_in_the_docs_use_existing_commands_and_options():
    seen = set()
    for page in PAGES:
        for line in code_lines(page):
            words = shlex.split(line, comments=True)
            if not words or words[0] != "gypsumusher":
                continue
            name, rest = split_command(words[1:])
            if name == "list":
                continue
            assert name in COMMANDS_BY_NAME, f"{page.name}: {line}"
            used = {word[2:].split("=")[0] for word in rest if word.startswith("--")}
            known = option_names(COMMANDS_BY_NAME[name]) | COMMON_OPTIONS
            assert used <= known, f"{page.name}: {line}"
            seen.add(name)
    assert seen == set(COMMANDS_BY_NAME)


def test_make_targets_in_the_docs_exist():
    makefile = (ROOT / "Makefile").read_text()
    targets = set(re.findall(r"^([a-z]+):", makefile, re.MULTILINE))
    for page in PAGES:
        for target in re.findall(r"`make ([a-z]+)`", page.read_text()):
            assert target in targets, f"{page.name}: make {target}"
        for line in code_lines(page):
            match = re.match(r"make ([a-z]+)", line)
            if match is not None:
                assert match.group(1) in targets, f"{page.name}: {line}"


def settings_row(setting):
    default = "needed" if setting.default is REQUIRED else f"`{setting.default}`"
    bounds = "" if setting.low is None else f"{setting.low} to {setting.high}"
    cells = (
        f"`{setting.key}`",
        setting.kind,
        setting.unit,
        default,
        bounds,
        setting.reason,
    )
    return "| " + " | ".join(cells) + " |"


def test_settings_table_matches_the_code():
    rows = re.findall(r"^\| `\w+\.\w+` \|.*$", OPERATING, re.MULTILINE)
    assert rows == [settings_row(setting) for setting in SETTINGS]


def parse_without_gc(path):
    """Return a module's syntax tree.

    A garbage collection within the parser runs finalizers of earlier tests' objects,
    after which CPython 3.11 may raise "AST constructor recursion depth mismatch".
    """
    gc.disable()
    try:
        return ast.parse(path.read_text())
    finally:
        gc.enable()


def test_configuration_keys_match_the_operators_page():
    section = OPERATING.split("## Configuration")[1].split("\n## ")[0]
    rows = re.findall(r"^\| ([a-z_, ]+) \|", section, re.MULTILINE)
    documented = {key.strip() for row in rows for key in row.split(",")}
    known = {*DEPLOYMENT_DEFAULTS, *SERVICE_DEFAULTS, *HOSTS_DEFAULTS}
    assert documented - {"model", "version", "classes", "default_class"} == known


def literal_arguments(function_names, position):
    """Return the constants at a position in the daemon's calls of some functions."""
    found = set()
    for path in DAEMON_MODULES:
        for node in ast.walk(parse_without_gc(path)):
            if not isinstance(node, ast.Call) or len(node.args) <= position:
                continue
            name = getattr(node.func, "attr", getattr(node.func, "id", ""))
            argument = node.args[position]
            if name in function_names and isinstance(argument, ast.Constant):
                found.add(argument.value)
    return found


def test_metrics_match_the_operators_page():
    names = literal_arguments({"_add"}, 1) | literal_arguments({"_add_histogram"}, 0)
    documented = set(re.findall(r"`(gypsumusher_\w+)`", OPERATING))
    assert names
    assert documented == {f"gypsumusher_{name}" for name in names}


def test_log_events_match_the_operators_page():
    events = literal_arguments({"log", "_log"}, 1)
    section = OPERATING.split("## Log events")[1].split("\n## ")[0]
    documented = set(re.findall(r"^\| `(\w+)` \|", section, re.MULTILINE))
    assert events
    assert documented == events


def test_refusal_codes_and_statuses_match_the_callers_page():
    text = (DOCS / "CALLERS.md").read_text()
    rows = re.findall(r"^\| `(\w+)` \| (\d{3}) \|", text, re.MULTILINE)
    assert {code: int(status) for code, status in rows} == STATUS_BY_CODE
