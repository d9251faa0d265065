"""The config commands: show, validate and patch the numbered configuration."""

import json
import os
import pathlib
import sys
import uuid

import yaml
from cleo.helpers import argument, option
from returns.result import Failure

from gypsumusher_cli.command_base import (
    ACCESS_OPTIONS,
    HTTP_OK,
    JSON_OPTION,
    OperatorsCommand,
    describe_error,
    require_ok_body,
    unwrap,
)
from gypsumusher_cli.errors import CommandError, InputError
from gypsumusher_cli.load_report import align_columns

HTTP_CONFLICT = 409
HTTP_INVALID = 422
# How often a patch is sent while its response is lost. Sending it again is safe, since
# hosts apply a patch id only once.
MAX_PATCH_ATTEMPTS = 3


def read_document(path, what):
    """Read a YAML or JSON mapping from a file, or from standard input for ``-``.

    Raises
    ------
    InputError
        If it can't be read or is not a mapping.
    """
    try:
        text = sys.stdin.read() if path == "-" else pathlib.Path(path).read_text()
        document = yaml.safe_load(text)
    except (OSError, UnicodeDecodeError) as error:
        raise InputError(
            f"{what} {path} can't be read ({error})", "name a text file"
        ) from error
    except yaml.YAMLError as error:
        place = " ".join(str(error).split())
        raise InputError(
            f"{what} {path} is not YAML or JSON ({place})", "fix the syntax"
        ) from error
    if isinstance(document, dict):
        return document
    raise InputError(
        f"{what} {path} is {document!r}, not a mapping",
        "write a mapping, e.g. deployments: {}",
    )


def parse_non_negative_int(text, name):
    """Return an option's value as an integer of at least 0.

    Raises
    ------
    InputError
        If the value is not such an integer.
    """
    if text.isdigit():
        return int(text)
    raise InputError(f"--{name} is {text!r}", "write a whole number")


def format_problems(problems):
    """Return the problems that a host found in a document as indented lines."""
    lines = [
        f"  {item.get('path')}: {item.get('problem')}; {item.get('mend')}"
        for item in problems
    ]
    return "\n".join(lines)


async def fetch_config(client, number=None):
    """Return the response body with the configuration in force and its number.

    With ``number``, the request fails unless that version is in force.
    """
    path = "/admin/config" if number is None else f"/admin/config?number={number}"
    return require_ok_body(unwrap(await client.call("GET", path)))


async def send_patch(client, base_number, patch, author, note, patch_id=None):
    """Send a patch, and repeat it under the same id until its outcome is known.

    Parameters
    ----------
    client : OperatorsClient
        An open client.
    base_number : int
        Number of the version that the patch was written against.
    patch : dict
        A JSON merge patch.
    author, note : str
        Kept in the configuration's history.
    patch_id : str, optional
        The patch's id; a random one by default.

    Returns
    -------
    Response
        Of status 200 (accepted), 409 (outdated) or 422 (invalid).

    Raises
    ------
    CommandError
        If the patch was not accepted, or its outcome is still unknown.
    """
    body = {
        "base_number": base_number,
        "patch": patch,
        "patch_id": patch_id or uuid.uuid4().hex,
        "author": author,
        "note": note,
    }
    for _ in range(MAX_PATCH_ATTEMPTS):
        # The response may be lost after the patch was accepted. The host recognises
        # the id when it is sent again, so that the patch is never applied twice.
        result = await client.call("POST", "/admin/config/patch", body)
        if isinstance(result, Failure) and result.failure().request_sent:
            continue
        response = unwrap(result)
        if response.status in (HTTP_OK, HTTP_CONFLICT, HTTP_INVALID):
            return response
        code = response.body.get("error", {}).get("code")
        if code != "unknown_outcome":
            raise CommandError(
                f"the patch was not accepted: {describe_error(response)}",
                "try again when the platform is available; see `gypsumusher status`",
            )
    raise CommandError(
        f"the outcome of patch {body['patch_id']} is not known",
        "look it up with `gypsumusher config history`, or send it again with "
        f"--patch-id {body['patch_id']}",
    )


def default_author():
    """Return the user's name from the environment."""
    return os.environ.get("USER") or os.environ.get("LOGNAME") or "unknown"


class ConfigShow(OperatorsCommand):
    """Prints the configuration in force."""

    name = "config show"
    description = "Print the configuration in force, with its number."
    options = [
        option("number", None, "Fail unless this version is in force.", flag=False),
        option("section", None, "Only this part, e.g. services.NAME.", flag=False),
        JSON_OPTION,
        *ACCESS_OPTIONS,
    ]

    async def run_with_client(self, client):
        """Fetch and print the document."""
        number = self.option("number")
        if number is not None:
            number = parse_non_negative_int(number, "number")
        body = await fetch_config(client, number)
        document = body["document"]
        if self.option("section"):
            document = _find_section(document, self.option("section"))
        if self.option("json"):
            shown = {"number": body["number"], "document": document}
            self.print_line(json.dumps(shown, indent=2))
            return
        self.print_line(f"# number: {body['number']}")
        self.print_line(yaml.safe_dump(document, sort_keys=False).rstrip())


def _find_section(document, path):
    section = document
    for name in path.split("."):
        if not isinstance(section, dict) or name not in section:
            known = sorted(section) if isinstance(section, dict) else []
            raise InputError(
                f"section {path!r} does not exist: no key {name!r}",
                f"use one of {known}",
            )
        section = section[name]
    return section


class ConfigValidate(OperatorsCommand):
    """Checks a document or a patch without applying it."""

    name = "config validate"
    description = "Check a configuration document, or a patch, without applying it."
    arguments = [argument("file", "YAML or JSON file; - reads standard input.")]
    options = [
        option("patch", None, "The file is a merge patch, not a whole document."),
        *ACCESS_OPTIONS,
    ]

    async def run_with_client(self, client):
        """Send the file to a host for validation and print the result."""
        path = self.argument("file")
        document = read_document(path, "file")
        kind = "patch" if self.option("patch") else "document"
        response = unwrap(
            await client.call("POST", "/admin/config/validate", {kind: document})
        )
        problems = response.body.get("problems")
        if problems is None:
            require_ok_body(response)
        if problems:
            raise InputError(f"{path} can't be used:\n{format_problems(problems)}")
        self.print_line(f"{path}: no problems")


class ConfigPatch(OperatorsCommand):
    """Changes the configuration by a merge patch against a numbered version."""

    name = "config patch"
    description = "Apply a JSON merge patch to the version that it was written against."
    arguments = [argument("file", "YAML or JSON merge patch; - reads standard input.")]
    options = [
        option("base", None, "Number that `config show` printed.", flag=False),
        option("note", None, "Reason; kept in the history.", flag=False, default=""),
        option("author", None, "Author; by default the user's name.", flag=False),
        option(
            "patch-id", None, "Id of an earlier patch of unknown outcome.", flag=False
        ),
        *ACCESS_OPTIONS,
    ]

    async def run_with_client(self, client):
        """Send the patch and print its result."""
        if self.option("base") is None:
            raise InputError(
                "--base is missing",
                "give the number that `gypsumusher config show` printed when the "
                "patch was written",
            )
        base_number = parse_non_negative_int(self.option("base"), "base")
        patch = read_document(self.argument("file"), "patch")
        response = await send_patch(
            client,
            base_number,
            patch,
            self.option("author") or default_author(),
            self.option("note"),
            self.option("patch-id"),
        )
        check_patch_response(response, base_number)
        changed = ", ".join(response.body.get("changed", [])) or "nothing"
        self.print_line(
            f"accepted as number {response.body['number']}; changed: {changed}"
        )


def check_patch_response(response, base_number):
    """Raise an error unless the response says that the patch was accepted.

    Raises
    ------
    InputError
        If the patch is invalid, or outdated because the configuration was changed
        after version ``base_number``.
    """
    if response.status == HTTP_INVALID:
        problems = format_problems(response.body.get("problems", []))
        raise InputError(f"the patch can't be used:\n{problems}")
    if response.status != HTTP_CONFLICT:
        return
    changed = ", ".join(response.body.get("changed_since", [])) or "unknown"
    raise InputError(
        f"the patch is outdated: it was written against number {base_number}, and "
        f"number {response.body.get('number')} is in force; changed since: {changed}",
        "see `gypsumusher config show`, update the patch, and give the new number",
    )


class ConfigHistory(OperatorsCommand):
    """Prints the most recent patches."""

    name = "config history"
    description = "Print the last patches: number, time, author, changes, reason."
    options = [JSON_OPTION, *ACCESS_OPTIONS]

    async def run_with_client(self, client):
        """Fetch and print the history."""
        response = unwrap(await client.call("GET", "/admin/config/history"))
        body = require_ok_body(response)
        if self.option("json"):
            self.print_line(json.dumps(body, indent=2))
            return
        rows = [("number", "at", "author", "changed", "note")]
        for patch in body.get("patches", []):
            rows.append(
                (
                    str(patch.get("number")),
                    str(patch.get("at", "")),
                    str(patch.get("author", "")),
                    ", ".join(patch.get("changed", [])),
                    str(patch.get("note", "")),
                )
            )
        self.print_line("\n".join(align_columns(rows)))
