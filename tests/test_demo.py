"""The demo's whole path, shortened: it ends well, and fails when an answer is wrong."""

import asyncio

import pytest
from demo import MIX_PATH, run_demo

from gypsumusher_cli import read_load_spec
from gypsumusher_standins import expected_text

SHORT_S = 3.0


def run_short(expected):
    mix = read_load_spec(MIX_PATH)
    shifts = tuple(shift._replace(at_s=shift.at_s / 4) for shift in mix.shifts)
    short = mix._replace(duration_s=SHORT_S, shifts=shifts)
    return asyncio.run(run_demo(short, expected))


@pytest.mark.processes
def test_the_whole_path_serves_both_deployments_and_stops_with_nothing_cut(capsys):
    """A host is replaced while callers use it.

    One of three hosts gets SIGTERM in the middle of the load. It leaves the entry
    answers, ends its streams and exits; no caller may see a cut, lost or doubled
    answer, and each process ends with code 0.
    """
    assert run_short(expected_text) == 0
    output = capsys.readouterr().out
    assert "host-c has stopped" in output
    for words in ("letter-models", "usher-llm", "counter-api", "lost 0, doubled 0"):
        assert words in output


@pytest.mark.processes
def test_an_answer_that_is_not_the_request_s_own_fails_the_demo(capsys):
    def wrong_for_some(prompt, tokens):
        text = expected_text(prompt, tokens)
        return text if tokens > 5 else f"{text} and more"

    assert run_short(wrong_for_some) == 1
    assert "incomplete 0" not in capsys.readouterr().out
