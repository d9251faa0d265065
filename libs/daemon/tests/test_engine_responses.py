"""Only complete answers that belong to the attempt are accepted."""

import json

import pytest

from gypsumusher_daemon.engine_responses import (
    AnswerProblem,
    StreamChecker,
    check_complete_answer,
    read_engine_refusal,
)

DEEP_JSON = b"[" * 100_000


def event(number, attempt="a-1", text="x"):
    payload = json.dumps({"id": f"cmpl-{attempt}", "text": text})
    return f"id: {number}\ndata: {payload}\n\n".encode()


DONE = b"id: 3\ndata: [DONE]\n\n"


def test_events_may_be_split_at_any_byte():
    raw = event(1) + event(2) + DONE
    for cut in range(1, len(raw)):
        checker = StreamChecker("a-1", 10)
        got = checker.feed(raw[:cut])
        got += checker.feed(raw[cut:])
        assert got == raw
        assert checker.done


def test_incomplete_event_is_not_returned():
    checker = StreamChecker("a-1", 10)
    assert checker.feed(event(1) + event(2)[:-1]) == event(1)
    checker.restart()
    assert checker.feed(event(2) + DONE) == event(2) + DONE


def test_resumed_stream_skips_events_the_caller_has():
    checker = StreamChecker("a-1", 10, after=1)
    assert checker.feed(event(1) + event(2) + DONE) == event(2) + DONE


def test_event_of_another_request_is_rejected():
    """A caller must not receive a part of another caller's answer.

    The engine's frontend mixes up two streams after a restart; the event of the other
    request carries the other id.
    """
    checker = StreamChecker("a-1", 10)
    checker.feed(event(1))
    with pytest.raises(AnswerProblem) as caught:
        checker.feed(event(2, attempt="a-11"))
    assert caught.value.reason == "crossed"


@pytest.mark.parametrize(
    ("raw", "reason"),
    [
        (event(2), "broken"),
        (event(1).replace(b"id: 1\n", b""), "error"),
        (event(1) + DONE.replace(b"3", b"2") + event(3), "error"),
        (b"".join(event(n) for n in range(1, 12)), "error"),
    ],
)
def test_gaps_unnumbered_and_overlong_streams_are_rejected(raw, reason):
    checker = StreamChecker("a-1", 10)
    with pytest.raises(AnswerProblem) as caught:
        checker.feed(raw)
    assert caught.value.reason == reason


def complete_body(**changes):
    body = {
        "id": "cmpl-a-1",
        "choices": [{"text": "x", "finish_reason": "stop"}],
        "usage": {"completion_tokens": 2},
    }
    return json.dumps({**body, **changes}).encode()


def test_complete_answer_is_accepted():
    assert check_complete_answer(complete_body(), "a-1", 2).output_tokens == 2


@pytest.mark.parametrize(
    ("raw", "reason"),
    [
        (complete_body(id="cmpl-b-1"), "crossed"),
        (complete_body(choices=[]), "error"),
        (complete_body(choices=[{"text": "x", "finish_reason": None}]), "error"),
        (complete_body()[:-5], "error"),
        (complete_body(usage={"completion_tokens": 3}), "error"),
        (b"[]", "error"),
        (DEEP_JSON, "error"),
    ],
)
def test_truncated_or_crossed_answers_are_rejected(raw, reason):
    with pytest.raises(AnswerProblem) as caught:
        check_complete_answer(raw, "a-1", 2)
    assert caught.value.reason == reason


# Guards against a nested error body that counts as a fault of the daemon's own.
def test_deeply_nested_refusal_has_no_code():
    assert read_engine_refusal(DEEP_JSON) == ""
