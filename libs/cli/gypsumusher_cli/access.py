"""Addresses and token of the hosts, from options, the environment or a YAML file."""

import pathlib
from typing import NamedTuple

import yaml

from gypsumusher_cli.errors import FileProblem, InputError, raise_if_problems

OPERATORS_VARIABLE = "GYPSUMUSHER_OPERATORS"
TOKEN_VARIABLE = "GYPSUMUSHER_TOKEN"
CALLERS_VARIABLE = "GYPSUMUSHER_CALLERS"
ACCESS_VARIABLE = "GYPSUMUSHER_ACCESS"
FILE_KEYS = ("operators", "token", "callers")
MAX_PORT = 65535


class Access(NamedTuple):
    """Addresses (``IP:PORT``) of the hosts' two listeners, and the operators' token."""

    operators: tuple[str, ...]
    token: str
    callers: tuple[str, ...]


def resolve_access(options, environment):
    """Return the access settings, by precedence: option, environment, access file.

    Parameters
    ----------
    options : dict of str to str or None
        Values of the options ``operators``, ``token``, ``callers`` and ``access``.
    environment : mapping of str to str
        The process's environment variables.

    Returns
    -------
    Access
        Fields that are set nowhere are empty.

    Raises
    ------
    InputError
        If an address is not ``IP:PORT``, or the access file can't be used.
    """
    path = options.get("access") or environment.get(ACCESS_VARIABLE)
    stored = _read_file(path) if path else {}
    operators = (
        options.get("operators")
        or environment.get(OPERATORS_VARIABLE)
        or stored.get("operators")
    )
    callers = (
        options.get("callers")
        or environment.get(CALLERS_VARIABLE)
        or stored.get("callers")
    )
    token = (
        options.get("token")
        or environment.get(TOKEN_VARIABLE)
        or stored.get("token", "")
    )
    return Access(
        operators=parse_addresses(operators, "operators' address"),
        token=token,
        callers=parse_addresses(callers, "callers' address"),
    )


def parse_addresses(given, what):
    """Return addresses, a comma-separated string or a list, as a validated tuple.

    ``what`` names the kind of address in error messages.

    Raises
    ------
    InputError
        If an address is not ``IP:PORT``.
    """
    if not given:
        return ()
    items = given.split(",") if isinstance(given, str) else list(given)
    addresses = []
    for item in items:
        host, _, port = str(item).strip().rpartition(":")
        if host and port.isdigit() and 0 < int(port) <= MAX_PORT:
            addresses.append(f"{host}:{port}")
            continue
        raise InputError(f"{what} {item!r} is not IP:PORT", "write e.g. 10.0.0.7:8081")
    return tuple(addresses)


def _read_file(path):
    try:
        document = yaml.safe_load(pathlib.Path(path).read_text())
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        place = " ".join(str(error).split())
        raise InputError(
            f"access file {path} can't be used ({place})",
            f"write YAML with the keys {', '.join(FILE_KEYS)}",
        ) from error
    if not isinstance(document, dict):
        raise InputError(
            f"access file {path} is {document!r}, not a mapping",
            f"write YAML with the keys {', '.join(FILE_KEYS)}",
        )
    problems = []
    for key, value in document.items():
        if key not in FILE_KEYS:
            problems.append(FileProblem(key, "is not a known key", f"use {FILE_KEYS}"))
            continue
        if not _is_string_or_strings(value, allow_list=key != "token"):
            problems.append(FileProblem(key, f"is {value!r}", "write a string"))
    raise_if_problems(f"access file {path}", problems)
    return document


def _is_string_or_strings(value, allow_list):
    if isinstance(value, str):
        return True
    if not allow_list or not isinstance(value, list):
        return False
    return all(isinstance(item, str) for item in value)


def require_operators(access):
    """Check that an address of the operators' API and a token are set.

    Raises
    ------
    InputError
        If the address or the token is missing.
    """
    if not access.operators:
        raise InputError(
            "no operators' address is known",
            f"give --operators IP:PORT or --access FILE, or set {OPERATORS_VARIABLE}",
        )
    if not access.token:
        raise InputError(
            "no operators' token is known",
            f"set {TOKEN_VARIABLE}, or give --token or --access FILE",
        )


def require_callers(access):
    """Check that an entry host's address for callers is set.

    Raises
    ------
    InputError
        If no address is set.
    """
    if access.callers:
        return
    raise InputError(
        "no callers' address is known",
        f"give --callers IP:PORT or --access FILE, or set {CALLERS_VARIABLE}",
    )
