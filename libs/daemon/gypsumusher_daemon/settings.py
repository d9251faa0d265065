"""The settings of the daemon: one checked table with unit, default and reason."""

from pathlib import Path
from typing import Any, NamedTuple

import yaml

from gypsumusher_daemon.errors import SettingsError

__all__ = [
    "SETTINGS",
    "KeySettings",
    "Setting",
    "Settings",
    "check_settings",
    "load_settings",
]

REQUIRED = object()


class Setting(NamedTuple):
    """One key of the settings file.

    Attributes
    ----------
    key : str
        Dotted path in the file.
    kind : str
        ``str``, ``int``, ``float``, ``bool``, ``list of str`` or ``list of keys``.
    unit : str
        Unit of the value, or an empty string.
    default : object
        Value when the key is absent; ``REQUIRED`` when it has none.
    low, high : float or None
        Inclusive bounds of a number.
    reason : str
        Why the key exists and why its default is what it is.
    """

    key: str
    kind: str
    unit: str
    default: Any
    low: float | None
    high: float | None
    reason: str


class KeySettings(NamedTuple):
    """One shared secret by which hosts authenticate each other."""

    id: str
    secret: str


Settings = dict[str, Any]

SETTINGS = (
    Setting(
        "host.name",
        "str",
        "",
        REQUIRED,
        None,
        None,
        "Name of this entry host, unique in the fleet.",
    ),
    Setting(
        "host.zone",
        "str",
        "",
        REQUIRED,
        None,
        None,
        "Availability zone; placement prefers endpoints of the same one.",
    ),
    Setting(
        "host.region",
        "str",
        "",
        "default",
        None,
        None,
        "Region; hosts of other regions are asked only when none is nearer.",
    ),
    Setting(
        "callers.address",
        "str",
        "",
        "127.0.0.1",
        None,
        None,
        "IP number on which callers are served and which /v1/entry gives out.",
    ),
    Setting(
        "callers.port",
        "int",
        "",
        8080,
        0,
        65535,
        "Port of the callers' listener; 0 takes a free one and publishes it.",
    ),
    Setting(
        "callers.max_body_bytes",
        "int",
        "bytes",
        33554432,
        1024,
        1073741824,
        "Largest request body: a long contract bundle is a few megabytes.",
    ),
    Setting(
        "callers.body_timeout_s",
        "float",
        "s",
        30.0,
        0.1,
        3600,
        "Longest time a caller may take to send a request, against slow senders.",
    ),
    Setting(
        "callers.max_requests",
        "int",
        "requests",
        4096,
        1,
        1000000,
        "Most requests in the daemon at once; bounds memory. More are refused.",
    ),
    Setting(
        "callers.entry_max_age_s",
        "float",
        "s",
        10.0,
        0.1,
        3600,
        "How long callers may keep an answer of /v1/entry; a stop waits this long.",
    ),
    Setting(
        "callers.entry_count",
        "int",
        "hosts",
        3,
        1,
        16,
        "Addresses in one answer of /v1/entry: one to use and two to fall back to.",
    ),
    Setting(
        "operators.address",
        "str",
        "",
        "127.0.0.1",
        None,
        None,
        "IP number of the operators' listener.",
    ),
    Setting(
        "operators.port",
        "int",
        "",
        8081,
        0,
        65535,
        "Port of the operators' listener; 0 takes a free one.",
    ),
    Setting(
        "operators.token",
        "str",
        "",
        REQUIRED,
        None,
        None,
        "Bearer token of the operators' API; at least 16 characters.",
    ),
    Setting(
        "peers.address",
        "str",
        "",
        "127.0.0.1",
        None,
        None,
        "IP number on which other entry hosts connect.",
    ),
    Setting(
        "peers.port",
        "int",
        "",
        8082,
        0,
        65535,
        "Port of the peers' listener; 0 takes a free one and publishes it.",
    ),
    Setting(
        "peers.keys",
        "list of keys",
        "",
        REQUIRED,
        None,
        None,
        "Shared secrets (id, secret). The first signs, all verify: rotation adds the "
        "new one second everywhere, then makes it first, then drops the old one.",
    ),
    Setting(
        "peers.seeds",
        "list of str",
        "",
        (),
        None,
        None,
        "IP:PORT of some peers' listeners, asked for the other hosts when the "
        "platform is down at the start; may be left out.",
    ),
    Setting(
        "peers.gossip_s",
        "float",
        "s",
        1.0,
        0.05,
        60,
        "Interval of probes and gossip in a cell; bounds how old peers' loads are.",
    ),
    Setting(
        "peers.timeout_s",
        "float",
        "s",
        1.0,
        0.05,
        60,
        "Longest wait for a peer's answer before the probe counts as failed.",
    ),
    Setting(
        "platform.urls",
        "list of str",
        "",
        REQUIRED,
        None,
        None,
        "Base URLs of the platform's object API, tried in order.",
    ),
    Setting(
        "platform.token",
        "str",
        "",
        REQUIRED,
        None,
        None,
        "Bearer token for the platform.",
    ),
    Setting(
        "platform.timeout_s",
        "float",
        "s",
        2.0,
        0.05,
        60,
        "Longest wait for one call; it answers in milliseconds when well.",
    ),
    Setting(
        "platform.watch_s",
        "float",
        "s",
        20.0,
        0.2,
        300,
        "Length of one waiting watch of the configuration's head.",
    ),
    Setting(
        "platform.poll_s",
        "float",
        "s",
        2.0,
        0.05,
        60,
        "Interval at which the list of hosts and endpoints is read.",
    ),
    Setting(
        "platform.writes_per_s",
        "float",
        "calls/s",
        20.0,
        0.1,
        1000,
        "This host's share of the platform's several hundred writes a second.",
    ),
    Setting(
        "platform.reads_per_s",
        "float",
        "calls/s",
        50.0,
        0.1,
        10000,
        "This host's share of the platform's about two thousand reads a second.",
    ),
    Setting(
        "engines.connect_timeout_s",
        "float",
        "s",
        1.0,
        0.05,
        60,
        "Longest wait for a connection to an endpoint before it counts as failed.",
    ),
    Setting(
        "engines.silence_s",
        "float",
        "s",
        60.0,
        0.1,
        3600,
        "Longest silence in an answer before the connection counts as broken.",
    ),
    Setting(
        "engines.report_s",
        "float",
        "s",
        0.5,
        0.02,
        60,
        "Interval at which load reports are read from the engines of this cell.",
    ),
    Setting(
        "engines.cache_events_s",
        "float",
        "s",
        1.0,
        0.02,
        60,
        "Interval at which cache events are read.",
    ),
    Setting(
        "journal.flush_s",
        "float",
        "s",
        0.1,
        0.0,
        5,
        "Shortest interval between two journal writes: one write carries the keys "
        "that gathered, so that 16 homes stay under 160 writes a second. The first "
        "key after a pause waits for nothing.",
    ),
    Setting(
        "journal.wait_s",
        "float",
        "s",
        3.0,
        0.05,
        60,
        "Longest wait for the journal before a request is refused as not run.",
    ),
    Setting(
        "journal.retention_s",
        "float",
        "s",
        3600.0,
        1,
        604800,
        "How long keys and answers of finished requests are remembered.",
    ),
    Setting(
        "journal.answers_bytes",
        "int",
        "bytes",
        16777216,
        0,
        1073741824,
        "Memory for whole answers kept for repeated keys.",
    ),
    Setting(
        "stewards.lease_s",
        "float",
        "s",
        6.0,
        0.2,
        300,
        "Length of a steward's lease; 40 leases renewed at a third of it are 20 "
        "writes a second.",
    ),
    Setting(
        "stewards.plan_s",
        "float",
        "s",
        2.0,
        0.05,
        300,
        "Interval at which a steward looks at roles and model versions.",
    ),
    Setting(
        "stop.grace_s",
        "float",
        "s",
        300.0,
        0,
        86400,
        "Longest time a planned stop waits for running requests; none is cut "
        "before it.",
    ),
    Setting(
        "log.level",
        "str",
        "",
        "info",
        None,
        None,
        "Least level that is logged: debug, info, warning or error.",
    ),
)

LOG_LEVELS = ("debug", "info", "warning", "error")
TOKEN_MIN_CHARS = 16


def load_settings(path):
    """Read and check a settings file.

    Parameters
    ----------
    path : str or pathlib.Path
        YAML file.

    Returns
    -------
    dict
        Value by dotted key, each of `SETTINGS` present.

    Raises
    ------
    SettingsError
        With one line a problem: file, line, key, what is wrong and how to mend it.
    """
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"{path}: can't be read ({error}); give a YAML file"
        ) from error
    return check_settings(text, str(path))


def check_settings(text, name):
    """Check the text of a settings file; see `load_settings`.

    Parameters
    ----------
    text : str
        The YAML text.
    name : str
        How messages call the file.
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
        problem = _problem_of(setting, value)
        if problem:
            problems.append(f"{name}: line {line}: {setting.key}: {problem}")
            continue
        settings[setting.key] = _converted(setting, value)
    if problems:
        raise SettingsError("\n".join(problems))
    return settings


def _take_default(setting, settings, problems, name):
    """Use the default of an absent key, or note that it has none."""
    if setting.default is REQUIRED:
        problems.append(f"{name}: {setting.key}: missing; add it ({setting.reason})")
        return
    settings[setting.key] = setting.default


def _collect(node, prefix, found, problems, name):
    """Gather the leaf values with their lines; note unknown and doubled keys."""
    known = {setting.key for setting in SETTINGS}
    sections = {key.rsplit(".", 1)[0] for key in known}
    for key_node, value_node in node.value:
        key = f"{prefix}{key_node.value}"
        line = key_node.start_mark.line + 1
        if key in found:
            problems.append(f"{name}: line {line}: {key}: stands twice; keep one")
            continue
        if key in known:
            found[key] = (_plain(value_node), line)
            continue
        if key in sections and isinstance(value_node, yaml.MappingNode):
            _collect(value_node, f"{key}.", found, problems, name)
            continue
        problems.append(
            f"{name}: line {line}: {key}: unknown; {_nearest(key, known, sections)}"
        )


def _nearest(key, known, sections):
    """Say which key was probably meant: a wrong unit suffix is the usual slip."""
    stem = key.rsplit("_", 1)[0]
    for candidate in sorted(known):
        if candidate.rsplit("_", 1)[0] == stem or candidate.startswith(key + "_"):
            return f"did you mean {candidate} (mind the unit)?"
    if key in sections:
        return "expected a mapping of settings"
    return "remove it, or see docs/OPERATING.md for the keys"


def _plain(node):
    """Return the plain value of a YAML node."""
    loader = yaml.SafeLoader("")
    try:
        return loader.construct_object(node, deep=True)
    finally:
        loader.dispose()


def _problem_of(setting, value):
    """Return what is wrong with a value and its mend, or None."""
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
    if setting.key == "operators.token" and len(value) < TOKEN_MIN_CHARS:
        return f"is shorter than {TOKEN_MIN_CHARS} characters; take a longer one"
    return None


def _number_problem(setting, value):
    """Return what is wrong with a number, or None."""
    allowed = int if setting.kind == "int" else (int, float)
    if isinstance(value, bool) or not isinstance(value, allowed):
        unit = f" in {setting.unit}" if setting.unit else ""
        return f"{value!r} is not a number{unit}; write a plain {setting.kind}"
    if not setting.low <= value <= setting.high:
        return f"{value!r} is outside {setting.low} to {setting.high} {setting.unit}"
    return None


def _list_problem(value, may_be_empty):
    """Return what is wrong with a list of texts, or None."""
    if not isinstance(value, list):
        return f"{value!r} is not a list"
    if not value and not may_be_empty:
        return f"{value!r} is not a list with at least one entry"
    for entry in value:
        if not isinstance(entry, str) or not entry:
            return f"entry {entry!r} is not a text"
    return None


def _keys_problem(value):
    """Return what is wrong with the list of shared secrets, or None."""
    if not isinstance(value, list) or not value:
        return "expected a list of {id, secret} with at least one entry"
    for entry in value:
        if not isinstance(entry, dict) or set(entry) != {"id", "secret"}:
            return "each entry needs exactly the keys id and secret"
        if not all(isinstance(part, str) and part for part in entry.values()):
            return "id and secret must be texts; put them in quotes"
        if len(entry["secret"]) < TOKEN_MIN_CHARS:
            return f"secret of {entry['id']!r} has under {TOKEN_MIN_CHARS} characters"
    ids = [entry["id"] for entry in value]
    if len(set(ids)) < len(ids):
        return "two keys have the same id; give each its own"
    return None


def _converted(setting, value):
    """Return the value in the type the daemon uses."""
    if setting.kind == "float":
        return float(value)
    if setting.kind == "list of keys":
        return [KeySettings(entry["id"], entry["secret"]) for entry in value]
    return value
