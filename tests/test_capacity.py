"""Fits and tables of the capacity page, computed from the report of a sweep."""

import pytest
from capacity import format_slopes, main
from capacity_fit import fit_points, predict

from gypsumusher_platform.sweep_report import decode_sweep
from gypsumusher_ports import DecodeError

REPORT = """day                  own/srv  score  worth served
sweep-10              15/102   0.66  0.658  0.923

middle / busiest or longest, by own machines
                                    10          30         100  power  at 333
entry: processor %           2.2 / 5.0   2.6 / 4.8   4.4 / 7.8    0.2  9.9
config in force, ms        0.00 / 0.00   0.0 / 16.0  47.0 / 463   0.98  1506
power: the busiest grows as machines to this power
"""


def test_report_is_decoded_with_sizes_and_without_derived_values():
    first, second = decode_sweep("report", REPORT)
    assert first.name == "entry: processor %"
    assert first.median == [(10, 2.2), (30, 2.6), (100, 4.4)]
    assert first.busiest == [(10, 5.0), (30, 4.8), (100, 7.8)]
    assert second.busiest[-1] == (100, 463.0)


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("middle / busiest", "average", "no line begins"),
        ("2.6 / 4.8", "given up", "at 30 hosts is 'given up'"),
        ("10          30         100", "", "no number of hosts"),
    ],
)
def test_incomplete_report_is_rejected_with_the_missing_part(old, new, message):
    with pytest.raises(DecodeError, match=message):
        decode_sweep("report", REPORT.replace(old, new))


def test_fit_returns_slope_and_error():
    fit = fit_points([(size, 3.0 * size**0.5) for size in (10, 30, 100, 300)])
    assert (fit.form, fit.slope) == ("power", pytest.approx(0.5))
    assert fit.error == pytest.approx(0.0, abs=1e-9)
    assert predict(fit, 900) == pytest.approx(90.0)
    noisy = fit_points([(10, 3.0), (30, 9.0), (100, 4.0)])
    assert noisy.error > 0.02


def test_quantity_that_is_zero_at_some_size_gets_a_linear_fit():
    fit = fit_points([(10, 0.0), (20, 5.0), (30, 10.0)])
    assert (fit.form, fit.slope) == ("linear", pytest.approx(0.5))
    assert predict(fit, 40) == pytest.approx(15.0)
    assert predict(fit, 1) == 0.0


def test_fit_of_two_points_is_rejected():
    with pytest.raises(ValueError, match="2 points"):
        fit_points([(1, 1), (2, 2)])


def test_table_shows_by_how_much_a_limit_is_exceeded():
    table = format_slopes(decode_sweep("report", REPORT), 330)
    lines = table.splitlines()
    assert "| 10 | 30 | 100 | grows |" in lines[0]
    assert lines[2].endswith("| 4.7, over 1.3 times |")
    assert lines[4].endswith("|  |")


def test_invalid_and_missing_report_files_give_one_message_each(tmp_path, capsys):
    path = tmp_path / "report.txt"
    path.write_text("nothing of the kind")
    assert main([str(path)]) == 2
    assert main([str(tmp_path / "missing.txt")]) == 2
    assert capsys.readouterr().err.count("give the whole output of a sweep") == 2
