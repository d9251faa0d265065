import pytest

from gypsumusher_cli.errors import InputError
from gypsumusher_cli.load_generator import Outcome
from gypsumusher_cli.load_report import (
    compare_reports,
    format_report,
    mark_duplicate_runs,
    percentile_s,
    read_report,
    save_report,
    summarize,
)
from gypsumusher_cli.load_spec import ClassTarget, LoadSpec

SPEC = LoadSpec(7, 10.0, True, {"counter": ClassTarget(1.5, 10.0)}, {}, ())


def outcome(number, result="served", reason="", on_time=True, non_idempotent=False):
    return Outcome(
        number=number,
        stream="checks",
        class_name="counter",
        target="letter-models",
        non_idempotent=non_idempotent,
        result=result,
        reason=reason,
        run="yes",
        first_token_s=0.1 * (number + 1),
        total_s=1.0 + number,
        inter_token_s=(0.01, 0.02),
        output_tokens=3,
        resumes=0,
        refusals=0,
        on_time=on_time,
        fingerprint=f"f{number}",
        request_id="r",
    )


OUTCOMES = [
    outcome(0),
    outcome(1, on_time=False),
    outcome(2, "refused", "overloaded", on_time=False),
    outcome(3, "lost", on_time=False),
]


def test_a_report_counts_each_result_and_the_goodput():
    report = summarize(SPEC, OUTCOMES, 10.0, role_changes=2)
    item = report.classes[0]
    assert (item.sent, item.served, item.on_time, item.lost) == (4, 2, 1, 1)
    assert item.refused == {"overloaded": 1}
    assert item.goodput_per_s == pytest.approx(0.1)
    assert percentile_s(item.times["whole_answer"], 95.0) == pytest.approx(2.0, 0.01)
    assert report.fault_count() == 1
    table = format_report(report)
    assert "refused letter-models/counter: overloaded 1" in table
    assert "role changes 2" in table


def test_a_saved_report_is_read_back_with_its_histograms(tmp_path):
    report = summarize(SPEC, OUTCOMES, 10.0)
    save_report(report, tmp_path / "report.json")
    again = read_report(tmp_path / "report.json")
    assert format_report(again) == format_report(report)
    assert "25.0 -> 25.0" in compare_reports(report, again)


def test_a_class_that_only_one_report_has_is_shown_as_absent():
    report = summarize(SPEC, OUTCOMES, 10.0)
    assert "absent" in compare_reports(report, summarize(SPEC, [], 10.0))


def test_a_file_that_is_not_a_report_is_refused(tmp_path):
    (tmp_path / "other.json").write_text('{"format": "x"}')
    for name in ("other.json", "absent.json"):
        with pytest.raises(InputError, match="load run --save"):
            read_report(tmp_path / name)


def test_only_a_non_idempotent_prompt_that_ran_twice_is_doubled():
    outcomes = [outcome(0), outcome(1, non_idempotent=True)]
    marked = mark_duplicate_runs(outcomes, {"f0": 2, "f1": 2})
    assert [item.result for item in marked] == ["served", "doubled"]
