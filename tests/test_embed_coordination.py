"""The example of embedding the coordination library runs as its page says."""

import pathlib
import runpy

EXAMPLE = (
    pathlib.Path(__file__).resolve().parent.parent
    / "docs"
    / "examples"
    / "embed_coordination.py"
)


def test_the_example_tells_what_became_of_each_key(capsys):
    runpy.run_path(str(EXAMPLE), run_name="__main__")
    granted, sent, other = capsys.readouterr().out.splitlines()
    assert granted.endswith("granted, may be sent")
    assert sent.endswith("unknown") and other.endswith("not_run")


def test_the_example_stays_under_60_lines():
    assert len(EXAMPLE.read_text().splitlines()) < 60
