"""Reads the settings file and validates it against the table of settings."""

from pathlib import Path
from typing import Any, NamedTuple

import yaml

from gypsumusher_daemon.errors import SettingsError
from gypsumusher_daemon.settings_table import REQUIRED, SETTINGS, Setting

__all__ = [
    "SETTINGS",
    "KeySettings",
    "Setting",
    "Settings",
    "check_settings",
    "load_settings",
]


class KeySettings(NamedTuple):
    """One shared secret with which hosts authenticate each other and sign."""

    id: str
    secret: str


Settings = dict[str, Any]

LOG_LEVELS = ("debug", "info", "warning", "error")
# Least length of the operators' token and of a shared secret.
TOKEN_CHARS_MIN = 16


def load_settings(path):
    """Read and validate a settings file.

    Parameters
    ----------
    path : str or pathlib.Path
        YAML file.

    Returns
    -------
    dict
        Value by dotted key, with every key of `SETTINGS`.

    Raises
    ------
    SettingsError
        With one line per problem: file, line, key, problem and remedy.
    """
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"{path}: can't be read ({error}); give a YAML file"
        ) from error
    return check_settings(text, str(path))


def check_settings(text, name):
    """Validate the text of a settings file; see `load_settings`.

    Parameters
    ----------
    text : str
        The YAML text.
    name : str
        Name of the file in messages.
    """
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.YAMLError as error:
        raise SettingsError(f"{name}: not YAML: {error}") from error
    if not isinstance(node, yaml.MappingNode):
        raise SettingsError(f"{name}: line 1: expected a mapping of sections")
    found, problems = {}, []
    _collect(node, "", found, problems, name)
    settings = {}
    for setting in SETTINGS:
        if setting.key not in found:
            _take_default(setting, settings, problems, name)
            continue
        value, line = found[setting.key]
        problem = _find_problem(setting, value)
        if problem:
            problems.append(f"{name}: line {line}: {setting.key}: {problem}")
            continue
        settings[setting.key] = _convert(setting, value)
    if problems:
        raise SettingsError("\n".join(problems))
    return settings


def _take_default(setting, settings, problems, name):
    """Set an absent key to its default; add a problem if it has none."""
    if setting.default is REQUIRED:
        problems.append(f"{name}: {setting.key}: missing; add it ({setting.reason})")
        return
    settings[setting.key] = setting.default


def _collect(node, prefix, found, problems, name):
    """Collect all values with their lines; report unknown and repeated keys."""
    known = {setting.key for setting in SETTINGS}
    sections = {key.rsplit(".", 1)[0] for key in known}
    for key_node, value_node in node.value:
        key = f"{prefix}{key_node.value}"
        line = key_node.start_mark.line + 1
        if key in found:
            problems.append(f"{name}: line {line}: {key}: stands twice; keep one")
            continue
        if key in known:
            found[key] = (_construct_value(value_node), line)
            continue
        if key in sections and isinstance(value_node, yaml.MappingNode):
            _collect(value_node, f"{key}.", found, problems, name)
            continue
        problems.append(
            f"{name}: line {line}: {key}: unknown; {_suggest(key, known, sections)}"
        )


def _suggest(key, known, sections):
    """Return a hint for an unknown key; a wrong unit suffix is the usual cause."""
    stem = key.rsplit("_", 1)[0]
    for candidate in sorted(known):
        if candidate.rsplit("_", 1)[0] == stem or candidate.startswith(key + "_"):
            return f"did you mean {candidate} (mind the unit)?"
    if key in sections:
        return "expected a mapping of settings"
    return "remove it, or see docs/OPERATING.md for the keys"


def _construct_value(node):
    """Return the Python value of a YAML node."""
    loader = yaml.SafeLoader("")
    try:
        return loader.construct_object(node, deep=True)
    finally:
        loader.dispose()


def _find_problem(setting, value):
    """Return the problem with a value and its remedy, or None."""
    if setting.kind in ("int", "float"):
        return _number_problem(setting, value)
    if setting.kind == "bool":
        return None if isinstance(value, bool) else f"{value!r} is not true or false"
    if setting.kind == "list of str":
        return _list_problem(value, may_be_empty=setting.default is not REQUIRED)
    if setting.kind == "list of keys":
        return _keys_problem(value)
    if not isinstance(value, str) or not value:
        return f"{value!r} is not a text; put it in quotes"
    if setting.key == "log.level" and value not in LOG_LEVELS:
        return f"{value!r} is none of {', '.join(LOG_LEVELS)}"
    if setting.key == "operators.token" and len(value) < TOKEN_CHARS_MIN:
        return f"is shorter than {TOKEN_CHARS_MIN} characters; take a longer one"
    return None


def _number_problem(setting, value):
    """Return the problem with a number, or None."""
    allowed = int if setting.kind == "int" else (int, float)
    if isinstance(value, bool) or not isinstance(value, allowed):
        unit = f" in {setting.unit}" if setting.unit else ""
        return f"{value!r} is not a number{unit}; write a plain {setting.kind}"
    if not setting.low <= value <= setting.high:
        return f"{value!r} is outside {setting.low} to {setting.high} {setting.unit}"
    return None


def _list_problem(value, may_be_empty):
    """Return the problem with a list of strings, or None."""
    if not isinstance(value, list):
        return f"{value!r} is not a list"
    if not value and not may_be_empty:
        return f"{value!r} is not a list with at least one entry"
    for entry in value:
        if not isinstance(entry, str) or not entry:
            return f"entry {entry!r} is not a text"
    return None


def _keys_problem(value):
    """Return the problem with the list of shared secrets, or None."""
    if not isinstance(value, list) or not value:
        return "expected a list of {id, secret} with at least one entry"
    for entry in value:
        if not isinstance(entry, dict) or set(entry) != {"id", "secret"}:
            return "each entry needs exactly the keys id and secret"
        if not all(isinstance(part, str) and part for part in entry.values()):
            return "id and secret must be texts; put them in quotes"
        if len(entry["secret"]) < TOKEN_CHARS_MIN:
            return f"secret of {entry['id']!r} has under {TOKEN_CHARS_MIN} characters"
    ids = [entry["id"] for entry in value]
    if len(set(ids)) < len(ids):
        return "two keys have the same id; give each its own"
    return None


def _convert(setting, value):
    """Return a validated value in the type that the daemon uses."""
    if setting.kind == "float":
        return float(value)
    if setting.kind == "list of keys":
        return [KeySettings(entry["id"], entry["secret"]) for entry in value]
    return value
