"""Validates configuration documents: each problem with its path and its fix."""

import math
import re
from collections.abc import Callable
from typing import Any, NamedTuple

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
# Upper bound of all durations in a document: one day.
MAX_DURATION_S = 86_400.0
MAX_TEXT_CHARS = 253
# Operators rely on a new configuration being in force everywhere within 12 s, so a
# partitioned host must stop serving before that.
STALE_LIMIT_BOUND_S = 12.0

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
    """One problem of a document: its path, what is wrong, and how to fix it."""

    path: str
    problem: str
    mend: str


Check = Callable[[Any, str], list[Problem]]


def check_document(document: Any) -> list[Problem]:
    """Return all problems of a document; an empty list means that it is valid.

    Parameters
    ----------
    document : object
        The whole document, as parsed from JSON or YAML.
    """
    return _check_document_fields(document, "")


def fill_defaults(document: dict) -> dict:
    """Return a valid document with defaults for the keys that it omits."""
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


def _problem(path: str, value: Any, expected: str) -> list[Problem]:
    """Return the problem of a value that is not the expected one."""
    shown = repr(value)
    if len(shown) > 60:
        shown = shown[:60] + "..."
    return [Problem(path or "document", f"is {shown}", f"give {expected}")]


def _number_check(low: float, high: float, exclude_low: bool = False) -> Check:
    """Return a check for finite numbers in a range."""
    bound = "above" if exclude_low else "from"
    expected = f"a number {bound} {low:g} up to {high:g}"

    def check(value, path):
        if type(value) not in {int, float} or not math.isfinite(value):
            return _problem(path, value, expected)
        if value > high or value < low or (exclude_low and value == low):
            return _problem(path, value, expected)
        return []

    return check


def _integer_check(low: int, high: int) -> Check:
    """Return a check for integers in a range."""

    def check(value, path):
        if type(value) is not int or not low <= value <= high:
            return _problem(path, value, f"a whole number from {low} to {high}")
        return []

    return check


def _choice_check(*choices: str) -> Check:
    """Return a check for one of several strings."""

    def check(value, path):
        if not isinstance(value, str) or value not in choices:
            return _problem(path, value, "one of " + ", ".join(choices))
        return []

    return check


def _check_boolean(value: Any, path: str) -> list[Problem]:
    return [] if isinstance(value, bool) else _problem(path, value, "true or false")


def _check_text(value: Any, path: str) -> list[Problem]:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_CHARS:
        return _problem(
            path, value, f"text of 1 to {MAX_TEXT_CHARS} characters, quoted"
        )
    return []


def _nullable_check(item_check: Check) -> Check:
    def check(value, path):
        return [] if value is None else item_check(value, path)

    return check


def _list_check(item_check: Check) -> Check:
    """Return a check for lists whose items pass `item_check`."""

    def check(value, path):
        if not isinstance(value, list):
            return _problem(path, value, "a list")
        problems = []
        for position, item in enumerate(value):
            problems.extend(item_check(item, f"{path}[{position}]"))
        return problems

    return check


def _mapping_check(
    item_check: Check, check_names: bool = True, min_entries: int = 0
) -> Check:
    """Return a check for mappings whose values pass `item_check`.

    With `check_names` the keys must match `NAME_PATTERN`.
    """

    def check(value, path):
        if not isinstance(value, dict) or len(value) < min_entries:
            return _problem(path, value, f"a mapping of at least {min_entries} entries")
        problems = []
        for key, item in value.items():
            item_path = f"{path}.{key}"
            if not isinstance(key, str) or (
                check_names and not NAME_PATTERN.fullmatch(key)
            ):
                problems.extend(
                    _problem(
                        item_path, key, "a name of letters, digits, '.', '_' and '-'"
                    )
                )
                continue
            problems.extend(item_check(item, item_path))
        return problems

    return check


def _object_check(fields: dict[str, Check], optional: set[str]) -> Check:
    """Return a check for mappings with these fields and no others."""

    def check(value, path):
        if not isinstance(value, dict):
            return _problem(path, value, "a mapping")
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


_check_class_fields = _object_check(
    {
        "rank": _integer_check(0, 1000),
        "first_token_s": _number_check(0.0, MAX_DURATION_S, exclude_low=True),
        "between_tokens_s": _number_check(0.0, MAX_DURATION_S, exclude_low=True),
        "deadline_s": _number_check(0.0, MAX_DURATION_S, exclude_low=True),
    },
    optional=set(),
)


def _check_class(value: Any, path: str) -> list[Problem]:
    problems = _check_class_fields(value, path)
    if not problems and value["first_token_s"] > value["deadline_s"]:
        problems.append(
            Problem(
                f"{path}.first_token_s",
                f"is {value['first_token_s']}, later than deadline_s",
                f"give at most {value['deadline_s']}",
            )
        )
    return problems


_check_deployment_fields = _object_check(
    {
        "model": _check_text,
        "version": _check_text,
        "default_class": _check_text,
        "classes": _mapping_check(_check_class, min_entries=1),
        "tenant_weights": _mapping_check(
            _number_check(0.0, 1e6, exclude_low=True), check_names=False
        ),
        "role_change_price_s": _number_check(0.0, MAX_DURATION_S),
        "role_change_s": _number_check(0.0, MAX_DURATION_S),
        "dwell_s": _number_check(0.0, MAX_DURATION_S),
        "shifting": _check_boolean,
        "fencing": _choice_check("refuses", "ignores"),
        "order_timeout_s": _nullable_check(
            _number_check(0.0, MAX_DURATION_S, exclude_low=True)
        ),
        "platform_down": _choice_check("refuse", "run_unjournaled"),
        "retry_ratio": _number_check(0.0, 1.0),
        "cell_hosts": _integer_check(1, 10_000),
        "loads_at_once": _integer_check(1, 10_000),
        "drain": _list_check(_check_text),
    },
    optional=set(DEPLOYMENT_DEFAULTS),
)


def _check_deployment(value: Any, path: str) -> list[Problem]:
    problems = _check_deployment_fields(value, path)
    if problems:
        return problems
    classes = value["classes"]
    if value["default_class"] not in classes:
        known = ", ".join(sorted(classes))
        problems.extend(
            _problem(f"{path}.default_class", value["default_class"], f"one of {known}")
        )
    ranks = [policy["rank"] for policy in classes.values()]
    if len(set(ranks)) < len(ranks):
        # With equal ranks it would be undefined which of the classes is shed first.
        problems.append(
            Problem(
                f"{path}.classes",
                f"two classes share a rank: {sorted(ranks)}",
                "give each class a rank of its own",
            )
        )
    return problems


def _check_method(value: Any, path: str) -> list[Problem]:
    if not isinstance(value, str) or not re.fullmatch(r"[A-Z]{1,20}", value):
        return _problem(path, value, "an HTTP method in capitals")
    return []


_check_document_fields = _object_check(
    {
        "deployments": _mapping_check(_check_deployment),
        "services": _mapping_check(
            _object_check(
                {
                    "repeatable_methods": _list_check(_check_method),
                    "timeout_s": _number_check(0.0, MAX_DURATION_S, exclude_low=True),
                    "drain": _list_check(_check_text),
                },
                optional=set(SERVICE_DEFAULTS),
            )
        ),
        "hosts": _object_check(
            {
                "drain": _list_check(_check_text),
                "stale_config": _choice_check("stop", "serve"),
                "stale_limit_s": _number_check(1.0, STALE_LIMIT_BOUND_S - 1.0),
            },
            optional=set(HOSTS_DEFAULTS),
        ),
    },
    optional={"deployments", "services", "hosts"},
)
