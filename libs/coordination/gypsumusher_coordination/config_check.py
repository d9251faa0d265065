"""Check of a whole configuration document: each problem with its path and its mend."""

import math
import re
from collections.abc import Callable
from typing import Any, NamedTuple

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
LONGEST_S = 86_400.0
LONGEST_TEXT = 253
# Beyond 12 s a host that is cut off could serve by a configuration that operators
# already count as replaced everywhere.
STALE_LIMIT_BELOW_S = 12.0

DEPLOYMENT_DEFAULTS: dict[str, Any] = {
    "tenant_weights": {},
    "role_change_price_s": 2.0,
    "role_change_s": 5.0,
    "dwell_s": 60.0,
    "shifting": True,
    "fencing": "ignores",
    "order_timeout_s": None,
    "platform_down": "refuse",
    "retry_ratio": 0.1,
    "cell_hosts": 8,
    "loads_at_once": 2,
    "drain": [],
}
SERVICE_DEFAULTS: dict[str, Any] = {
    "repeatable_methods": ["GET", "HEAD"],
    "timeout_s": 30.0,
    "drain": [],
}
HOSTS_DEFAULTS: dict[str, Any] = {
    "drain": [],
    "stale_config": "stop",
    "stale_limit_s": 8.0,
}


class Problem(NamedTuple):
    """One fault of a document: where, what, and how to mend it."""

    path: str
    problem: str
    mend: str


Check = Callable[[Any, str], list[Problem]]


def check_document(document: Any) -> list[Problem]:
    """Return every problem of a document; an empty list means that it may be used.

    Parameters
    ----------
    document : object
        The whole document, as JSON or YAML gave it.
    """
    return _DOCUMENT(document, "")


def fill_defaults(document: dict) -> dict:
    """Return a checked document with each key that was left out at its default."""
    deployments = {
        name: {**DEPLOYMENT_DEFAULTS, **section}
        for name, section in document.get("deployments", {}).items()
    }
    services = {
        name: {**SERVICE_DEFAULTS, **section}
        for name, section in document.get("services", {}).items()
    }
    hosts = {**HOSTS_DEFAULTS, **document.get("hosts", {})}
    return {"deployments": deployments, "services": services, "hosts": hosts}


def _wrong(path: str, value: Any, wanted: str) -> list[Problem]:
    seen = repr(value)
    if len(seen) > 60:
        seen = seen[:60] + "..."
    return [Problem(path or "document", f"is {seen}", f"give {wanted}")]


def _number(low: float, high: float, open_low: bool = False) -> Check:
    bound = "above" if open_low else "from"
    wanted = f"a number {bound} {low:g} up to {high:g}"

    def check(value, path):
        if type(value) not in {int, float} or not math.isfinite(value):
            return _wrong(path, value, wanted)
        if value > high or value < low or (open_low and value == low):
            return _wrong(path, value, wanted)
        return []

    return check


def _integer(low: int, high: int) -> Check:
    def check(value, path):
        if type(value) is not int or not low <= value <= high:
            return _wrong(path, value, f"a whole number from {low} to {high}")
        return []

    return check


def _choice(*choices: str) -> Check:
    def check(value, path):
        if not isinstance(value, str) or value not in choices:
            return _wrong(path, value, "one of " + ", ".join(choices))
        return []

    return check


def _boolean(value: Any, path: str) -> list[Problem]:
    return [] if isinstance(value, bool) else _wrong(path, value, "true or false")


def _text(value: Any, path: str) -> list[Problem]:
    if not isinstance(value, str) or not 0 < len(value) <= LONGEST_TEXT:
        return _wrong(path, value, f"text of 1 to {LONGEST_TEXT} characters, quoted")
    return []


def _or_null(inner: Check) -> Check:
    def check(value, path):
        return [] if value is None else inner(value, path)

    return check


def _list_of(inner: Check) -> Check:
    def check(value, path):
        if not isinstance(value, list):
            return _wrong(path, value, "a list")
        problems = []
        for position, item in enumerate(value):
            problems.extend(inner(item, f"{path}[{position}]"))
        return problems

    return check


def _mapping_of(inner: Check, named: bool = True, least: int = 0) -> Check:
    def check(value, path):
        if not isinstance(value, dict) or len(value) < least:
            return _wrong(path, value, f"a mapping of at least {least} entries")
        problems = []
        for key, item in value.items():
            place = f"{path}.{key}"
            if not isinstance(key, str) or (named and not NAME.fullmatch(key)):
                problems.extend(
                    _wrong(place, key, "a name of letters, digits, '.', '_' and '-'")
                )
                continue
            problems.extend(inner(item, place))
        return problems

    return check


def _object(fields: dict[str, Check], optional: set[str]) -> Check:
    def check(value, path):
        if not isinstance(value, dict):
            return _wrong(path, value, "a mapping")
        prefix = f"{path}." if path else ""
        problems = []
        for key, item in value.items():
            if key not in fields:
                known = ", ".join(sorted(fields))
                mend = f"remove it; known keys: {known}"
                problems.append(Problem(f"{prefix}{key}", "unknown key", mend))
                continue
            problems.extend(fields[key](item, f"{prefix}{key}"))
        for key in fields:
            if key not in value and key not in optional:
                problems.append(Problem(f"{prefix}{key}", "is missing", "set it"))
        return problems

    return check


_CLASS_FIELDS = _object(
    {
        "rank": _integer(0, 1000),
        "first_token_s": _number(0.0, LONGEST_S, open_low=True),
        "between_tokens_s": _number(0.0, LONGEST_S, open_low=True),
        "deadline_s": _number(0.0, LONGEST_S, open_low=True),
    },
    optional=set(),
)


def _class(value: Any, path: str) -> list[Problem]:
    problems = _CLASS_FIELDS(value, path)
    if not problems and value["first_token_s"] > value["deadline_s"]:
        problems.append(
            Problem(
                f"{path}.first_token_s",
                f"is {value['first_token_s']}, later than deadline_s",
                f"give at most {value['deadline_s']}",
            )
        )
    return problems


_DEPLOYMENT_FIELDS = _object(
    {
        "model": _text,
        "version": _text,
        "default_class": _text,
        "classes": _mapping_of(_class, least=1),
        "tenant_weights": _mapping_of(_number(0.0, 1e6, open_low=True), named=False),
        "role_change_price_s": _number(0.0, LONGEST_S),
        "role_change_s": _number(0.0, LONGEST_S),
        "dwell_s": _number(0.0, LONGEST_S),
        "shifting": _boolean,
        "fencing": _choice("refuses", "ignores"),
        "order_timeout_s": _or_null(_number(0.0, LONGEST_S, open_low=True)),
        "platform_down": _choice("refuse", "run_unjournaled"),
        "retry_ratio": _number(0.0, 1.0),
        "cell_hosts": _integer(1, 10_000),
        "loads_at_once": _integer(1, 10_000),
        "drain": _list_of(_text),
    },
    optional=set(DEPLOYMENT_DEFAULTS),
)


def _deployment(value: Any, path: str) -> list[Problem]:
    problems = _DEPLOYMENT_FIELDS(value, path)
    if problems:
        return problems
    classes = value["classes"]
    if value["default_class"] not in classes:
        known = ", ".join(sorted(classes))
        problems.extend(
            _wrong(f"{path}.default_class", value["default_class"], f"one of {known}")
        )
    ranks = [policy["rank"] for policy in classes.values()]
    if len(set(ranks)) < len(ranks):
        # Two classes of one rank would leave open which of them is shed first.
        problems.append(
            Problem(
                f"{path}.classes",
                f"two classes share a rank: {sorted(ranks)}",
                "give each class a rank of its own",
            )
        )
    return problems


def _method(value: Any, path: str) -> list[Problem]:
    if not isinstance(value, str) or not re.fullmatch(r"[A-Z]{1,20}", value):
        return _wrong(path, value, "an HTTP method in capitals")
    return []


_DOCUMENT = _object(
    {
        "deployments": _mapping_of(_deployment),
        "services": _mapping_of(
            _object(
                {
                    "repeatable_methods": _list_of(_method),
                    "timeout_s": _number(0.0, LONGEST_S, open_low=True),
                    "drain": _list_of(_text),
                },
                optional=set(SERVICE_DEFAULTS),
            )
        ),
        "hosts": _object(
            {
                "drain": _list_of(_text),
                "stale_config": _choice("stop", "serve"),
                "stale_limit_s": _number(1.0, STALE_LIMIT_BELOW_S - 1.0),
            },
            optional=set(HOSTS_DEFAULTS),
        ),
    },
    optional={"deployments", "services", "hosts"},
)
