"""The demo, shortened: it passes, and fails if a response is wrong."""

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
def test_demo_serves_both_deployments_and_truncates_nothing(capsys):
    """Guards against callers that notice the replacement of a host.

    One of three hosts gets SIGTERM under load. It leaves the entry responses,
    completes its streams and exits. No response may be truncated, lost or duplicated,
    and each process has to exit with code 0.
    """
    assert run_short(expected_text) == 0
    output = capsys.readouterr().out
    assert "host-c has stopped" in output
    for words in ("letter-models", "usher-llm", "counter-api", "lost 0, doubled 0"):
        assert words in output


@pytest.mark.processes
def test_response_of_another_request_fails_the_demo(capsys):
    def wrong_for_some(prompt, tokens):
        text = expected_text(prompt, tokens)
        return text if tokens > 5 else f"{text} and more"

    assert run_short(wrong_for_some) == 1
    assert "incomplete 0" not in capsys.readouterr().out
