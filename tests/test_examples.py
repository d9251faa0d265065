"""Libraries and embedding examples run without other packages, as documented."""

import importlib
import inspect
import os
import pathlib
import re
import subprocess
import sys
import types

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
EXAMPLES = ROOT / "docs" / "examples"
PAGE = (ROOT / "docs" / "EMBEDDING.md").read_text()
LIBRARIES = ("policy", "coordination")


def run_alone(library, *arguments):
    """Run Python with the standard library and one project library; return the output.

    Without site-packages (-S), any other import fails.
    """
    env = {**os.environ, "PYTHONPATH": str(ROOT / "libs" / library)}
    command = [sys.executable, "-B", "-S", *map(str, arguments)]
    completed = subprocess.run(
        command, env=env, capture_output=True, text=True, check=False
    )
    assert (completed.returncode, completed.stderr) == (0, "")
    return completed.stdout


def lines_about(output, name):
    return [line for line in output.splitlines() if re.search(rf"\b{name}\b", line)]


@pytest.mark.parametrize("library", LIBRARIES)
def test_libraries_need_only_the_standard_library(library):
    run_alone(library, "-c", f"import gypsumusher_{library}")


def test_policy_example_starts_retries_queues_and_refuses():
    output = run_alone("policy", EXAMPLES / "embed_policy.py")
    (early,) = lines_about(output, "early")
    assert early.endswith("refuse early: no_endpoint, run=no")
    first, second = lines_about(output, "letter")
    assert "start letter #1 on" in first and "start letter #2 on" in second
    assert first.split()[-1] != second.split()[-1]
    placed, refused = lines_about(output, "booking")
    assert "start booking #1 on" in placed
    assert refused.endswith("refuse booking: endpoint_failed, run=unknown")
    burst = [line.split(" -> ")[1] for line in output.splitlines() if "burst" in line]
    assert burst[0].startswith("start burst-0")
    assert "nothing" in burst
    assert burst[-1] == "refuse burst-19: overloaded, run=no"


def test_coordination_example_distinguishes_keys_of_a_failed_owner():
    output = run_alone("coordination", EXAMPLES / "embed_coordination.py")
    granted, sent, other = output.splitlines()
    assert granted.endswith(": granted, may be sent")
    assert sent.endswith(": unknown") and other.endswith(": not_run")
    assert sent.split(":")[0] == granted.split(":")[0]


def test_paused_owner_with_a_sealed_journal_grants_nothing():
    """Guards against sending a request after another host reported "not run".

    An owner claims a key and is paused before it sends its journal write. A surviving
    host seals the journal and reports "not run". The owner resumes and sends the write;
    it must refuse this key and all later ones.
    """
    output = run_alone("coordination", EXAMPLES / "embed_paused_home.py")
    _, survivor, resumed, sealed_out, later = output.splitlines()
    assert survivor.endswith("a survivor says not_run")
    assert resumed.endswith("the home wakes up, ClaimRefused no")
    assert sealed_out == "the home is sealed out: True"
    assert later.endswith(": ClaimRefused no")
    assert "ClaimGranted" not in output


def test_examples_are_shorter_than_60_lines():
    for path in EXAMPLES.glob("*.py"):
        assert len(path.read_text().splitlines()) < 60, path.name


def public_row(package, name):
    """Return a public name's table row with the first paragraph of its docstring."""
    value = getattr(package, name)
    purpose = "Constant."
    if isinstance(value, types.UnionType):
        purpose = (
            f"Any of {', '.join(f'`{kind.__name__}`' for kind in value.__args__)}."
        )
    elif callable(value):
        purpose = " ".join(inspect.getdoc(value).split("\n\n")[0].split())
    return f"| `{name}` | {purpose} |"


@pytest.mark.parametrize("library", LIBRARIES)
def test_table_on_the_page_lists_exactly_the_public_names(library):
    package = importlib.import_module(f"gypsumusher_{library}")
    section = PAGE.split(f"### `gypsumusher_{library}`")[1].split("\n#")[0]
    rows = re.findall(r"^\| `.*$", section, re.MULTILINE)
    expected = [public_row(package, name) for name in sorted(package.__all__)]
    assert rows == expected, "\n" + "\n".join(expected)
