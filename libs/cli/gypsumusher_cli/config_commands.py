"""The commands that show, check and change the numbered configuration."""

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
from gypsumusher_cli.load_report import align

HTTP_CONFLICT = 409
HTTP_INVALID = 422
# A lost answer is settled by sending the same patch id again, this many times.
PATCH_TRIES = 3


def read_document(path, what):
    """Read a YAML or JSON mapping from a file, or from standard input for ``-``.

    Raises
    ------
    InputError
        If it can't be read or is no mapping.
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
            f"{what} {path} is not YAML or JSON ({place})", "mend it"
        ) from error
    if isinstance(document, dict):
        return document
    raise InputError(
        f"{what} {path} holds {document!r}", "write a mapping, e.g. deployments: {}"
    )


def whole_number(text, name):
    """Return an option's value as a whole number, not below 0.

    Raises
    ------
    InputError
        If it is none.
    """
    if text.isdigit():
        return int(text)
    raise InputError(f"--{name} is {text!r}", "write a whole number")


def format_problems(problems):
    """Return a check's problems as lines."""
    lines = [
        f"  {item.get('path')}: {item.get('problem')}; {item.get('mend')}"
        for item in problems
    ]
    return "\n".join(lines)


async def read_config(client, number=None):
    """Return the number and the document of the configuration in force."""
    path = "/admin/config" if number is None else f"/admin/config?number={number}"
    return require_ok_body(unwrap(await client.call("GET", path)))


async def send_patch(client, base_number, patch, author, note, patch_id=None):
    """Send a patch until its outcome is known.

    Parameters
    ----------
    client : OperatorsClient
        Where to.
    base_number : int
        The version that the patch was written against.
    patch : dict
        A JSON merge patch.
    author, note : str
        For the history.
    patch_id : str, optional
        A new one by default.

    Returns
    -------
    Answer
        200, 409 or 422.

    Raises
    ------
    CommandError
        If the patch was not taken, or its outcome stayed unknown.
    """
    body = {
        "base_number": base_number,
        "patch": patch,
        "patch_id": patch_id or uuid.uuid4().hex,
        "author": author,
        "note": note,
    }
    for _ in range(PATCH_TRIES):
        # The answer may be lost after the patch was accepted. The same id sent again
        # is recognised by the host, so that it is never applied twice.
        result = await client.call("POST", "/admin/config/patch", body)
        if isinstance(result, Failure) and result.failure().sent:
            continue
        answer = unwrap(result)
        if answer.status in (HTTP_OK, HTTP_CONFLICT, HTTP_INVALID):
            return answer
        code = answer.body.get("error", {}).get("code")
        if code != "unknown_outcome":
            raise CommandError(
                f"the patch was not taken: {describe_error(answer)}",
                "try again when the platform answers; see `gypsumusher status`",
            )
    raise CommandError(
        f"the outcome of patch {body['patch_id']} is not known",
        "look for it with `gypsumusher config history`, or send it again with "
        f"--patch-id {body['patch_id']}",
    )


def default_author():
    """Return the user's name as the environment tells it."""
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

    async def operate_with(self, client):
        """Read and print the document."""
        number = self.option("number")
        if number is not None:
            number = whole_number(number, "number")
        body = await read_config(client, number)
        document = body["document"]
        if self.option("section"):
            document = _section(document, self.option("section"))
        if self.option("json"):
            shown = {"number": body["number"], "document": document}
            self.say(json.dumps(shown, indent=2))
            return
        self.say(f"# number: {body['number']}")
        self.say(yaml.safe_dump(document, sort_keys=False).rstrip())


def _section(document, path):
    part = document
    for name in path.split("."):
        if not isinstance(part, dict) or name not in part:
            known = sorted(part) if isinstance(part, dict) else []
            raise InputError(
                f"section {path!r} has no part {name!r}", f"use one of {known}"
            )
        part = part[name]
    return part


class ConfigValidate(OperatorsCommand):
    """Checks a document or patch without putting it in force."""

    name = "config validate"
    description = "Check a configuration document, or a patch, without applying it."
    arguments = [argument("file", "YAML or JSON file; - reads standard input.")]
    options = [
        option("patch", None, "The file is a merge patch on what is in force."),
        *ACCESS_OPTIONS,
    ]

    async def operate_with(self, client):
        """Send the file to be checked."""
        path = self.argument("file")
        document = read_document(path, "file")
        kind = "patch" if self.option("patch") else "document"
        answer = unwrap(
            await client.call("POST", "/admin/config/validate", {kind: document})
        )
        problems = answer.body.get("problems")
        if problems is None:
            require_ok_body(answer)
        if problems:
            raise InputError(f"{path} can't be used:\n{format_problems(problems)}")
        self.say(f"{path}: no problems")


class ConfigPatch(OperatorsCommand):
    """Changes the configuration by a merge patch against a numbered version."""

    name = "config patch"
    description = "Apply a JSON merge patch to the version that it was written against."
    arguments = [argument("file", "YAML or JSON merge patch; - reads standard input.")]
    options = [
        option("base", None, "Number that `config show` printed.", flag=False),
        option("note", None, "Why; kept in the history.", flag=False, default=""),
        option("author", None, "Who; by default the user's name.", flag=False),
        option("patch-id", None, "Id of an earlier try to settle.", flag=False),
        *ACCESS_OPTIONS,
    ]

    async def operate_with(self, client):
        """Send the patch and say what became of it."""
        if self.option("base") is None:
            raise InputError(
                "--base is missing",
                "give the number that `gypsumusher config show` printed when the "
                "patch was written",
            )
        base_number = whole_number(self.option("base"), "base")
        patch = read_document(self.argument("file"), "patch")
        answer = await send_patch(
            client,
            base_number,
            patch,
            self.option("author") or default_author(),
            self.option("note"),
            self.option("patch-id"),
        )
        check_patch_answer(answer, base_number)
        changed = ", ".join(answer.body.get("changed", [])) or "nothing"
        self.say(f"accepted as number {answer.body['number']}; changed: {changed}")


def check_patch_answer(answer, base_number):
    """Raise what a patch's answer says, unless it was accepted.

    Raises
    ------
    InputError
        If the patch is invalid, or outdated: others changed the configuration since.
    """
    if answer.status == HTTP_INVALID:
        problems = format_problems(answer.body.get("problems", []))
        raise InputError(f"the patch can't be used:\n{problems}")
    if answer.status != HTTP_CONFLICT:
        return
    changed = ", ".join(answer.body.get("changed_since", [])) or "not told"
    raise InputError(
        f"the patch is outdated: it was written against number {base_number}, and "
        f"number {answer.body.get('number')} is in force; changed since: {changed}",
        "look at `gypsumusher config show`, mend the patch, and name the new number",
    )


class ConfigHistory(OperatorsCommand):
    """Prints the last patches."""

    name = "config history"
    description = "Print the last patches: number, time, author, what changed, why."
    options = [JSON_OPTION, *ACCESS_OPTIONS]

    async def operate_with(self, client):
        """Read and print the history."""
        answer = unwrap(await client.call("GET", "/admin/config/history"))
        body = require_ok_body(answer)
        if self.option("json"):
            self.say(json.dumps(body, indent=2))
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
        self.say("\n".join(align(rows)))
