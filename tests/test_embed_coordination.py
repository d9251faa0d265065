"""The coordination library's embedding example prints the documented output."""

import pathlib
import runpy

EXAMPLE = (
    pathlib.Path(__file__).resolve().parent.parent
    / "docs"
    / "examples"
    / "embed_coordination.py"
)


def test_example_prints_the_outcome_of_each_key(capsys):
    runpy.run_path(str(EXAMPLE), run_name="__main__")
    granted, sent, other = capsys.readouterr().out.splitlines()
    assert granted.endswith("granted, may be sent")
    assert sent.endswith("unknown") and other.endswith("not_run")


def test_example_is_shorter_than_60_lines():
    assert len(EXAMPLE.read_text().splitlines()) < 60
