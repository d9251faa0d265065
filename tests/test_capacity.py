"""The capacity page's arithmetic, and its lines against those that are measured."""

import ast
import pathlib
import re

import pytest
from capacity_fit import fit_line, predict
from capacity_size import Need, format_need, with_sums

ROOT = pathlib.Path(__file__).resolve().parent.parent


def test_a_fit_finds_the_slope_and_tells_its_error():
    points = [(x, 3.0 + 2.0 * x) for x in (1, 2, 4, 8)]
    line = fit_line("line", "x", "y", points)
    assert (line.slope, line.intercept) == (pytest.approx(2.0), pytest.approx(3.0))
    assert line.error == pytest.approx(0.0, abs=1e-9)
    assert predict(line, 100) == pytest.approx(203.0)
    noisy = fit_line("line", "x", "y", [*points[:3], (8, 25.0)])
    assert noisy.error > 0.02


def test_a_logarithmic_fit_grows_with_each_doubling():
    points = [(x, y) for x, y in ((8, 4.0), (16, 5.0), (32, 6.0), (64, 7.0))]
    line = fit_line("line", "x", "y", points, form="log2")
    assert predict(line, 128) == pytest.approx(8.0)


def test_three_points_are_too_few_for_a_slope():
    with pytest.raises(ValueError, match="3 points"):
        fit_line("line", "x", "y", [(1, 1), (2, 2), (3, 3)])


def test_what_is_over_its_limit_says_by_how_much_and_sums_are_added():
    needs = [Need("a", "x", 1500.0, "bytes/s", 2000.0)] * 2
    rows = [format_need(need) for need in with_sums(needs)]
    assert rows[0].endswith("| 2000 |  |")
    assert rows[2] == "| sum |  | 3e+03 | bytes/s | 2000 | over, 1.5 times |"


def test_the_page_names_each_measured_line_and_no_other():
    measured = set()
    for path in (ROOT / "tools").glob("capacity_*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.Call)
                and getattr(node.func, "id", "") == "fit_line"
            ):
                measured.add(node.args[0].value)
    page = (ROOT / "docs" / "CAPACITY.md").read_text()
    section = page.split("## Slopes")[1].split("\n## ")[0]
    rows = re.findall(r"^\| ([^|]+) \| [^|]+\d:", section, re.MULTILINE)
    assert set(rows) == measured
