"""The libraries run alone, as the page on embedding and its examples say."""

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
    """Run Python with the standard library and one of ours, and return its output.

    Without site-packages (-S), an import of anything else fails.
    """
    env = {**os.environ, "PYTHONPATH": str(ROOT / "libs" / library)}
    command = [sys.executable, "-B", "-S", *map(str, arguments)]
    done = subprocess.run(command, env=env, capture_output=True, text=True, check=False)
    assert (done.returncode, done.stderr) == (0, "")
    return done.stdout


def lines_about(output, name):
    return [line for line in output.splitlines() if re.search(rf"\b{name}\b", line)]


@pytest.mark.parametrize("library", LIBRARIES)
def test_each_library_is_imported_with_the_standard_library_alone(library):
    run_alone(library, "-c", f"import gypsumusher_{library}")


def test_the_policy_example_places_retries_queues_and_refuses():
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


def test_the_coordination_example_tells_a_dead_home_s_keys_apart():
    output = run_alone("coordination", EXAMPLES / "embed_coordination.py")
    granted, sent, other = output.splitlines()
    assert granted.endswith(": granted, may be sent")
    assert sent.endswith(": unknown") and other.endswith(": not_run")
    assert sent.split(":")[0] == granted.split(":")[0]


def test_a_paused_home_that_is_sealed_out_grants_nothing():
    """A booking is denied by a survivor, and the paused home must not send it after.

    A home claims a key and is paused before its write leaves. A survivor seals its
    journal and tells the caller "not run". The home wakes up, its write goes out, and
    it must refuse this key and all later ones.
    """
    output = run_alone("coordination", EXAMPLES / "embed_paused_home.py")
    _, survivor, woken, sealed_out, later = output.splitlines()
    assert survivor.endswith("a survivor says not_run")
    assert woken.endswith("the home wakes up, ClaimRefused no")
    assert sealed_out == "the home is sealed out: True"
    assert later.endswith(": ClaimRefused no")
    assert "ClaimGranted" not in output


def test_each_example_stays_under_60_lines():
    for path in EXAMPLES.glob("*.py"):
        assert len(path.read_text().splitlines()) < 60, path.name


def public_row(package, name):
    """Return a public name's row, with the first paragraph of its docstring."""
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
def test_the_page_s_table_has_each_public_name_and_no_other(library):
    package = importlib.import_module(f"gypsumusher_{library}")
    section = PAGE.split(f"### `gypsumusher_{library}`")[1].split("\n#")[0]
    rows = re.findall(r"^\| `.*$", section, re.MULTILINE)
    wanted = [public_row(package, name) for name in sorted(package.__all__)]
    assert rows == wanted, "\n" + "\n".join(wanted)
