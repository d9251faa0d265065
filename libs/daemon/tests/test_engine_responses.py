"""Only whole answers to the very attempt get through."""

import json

import pytest

from gypsumusher_daemon.engine_responses import (
    AnswerProblem,
    StreamChecker,
    check_whole_answer,
)


def event(number, attempt="a-1", text="x"):
    payload = json.dumps({"id": f"cmpl-{attempt}", "text": text})
    return f"id: {number}\ndata: {payload}\n\n".encode()


DONE = b"id: 3\ndata: [DONE]\n\n"


def test_bytes_may_break_anywhere():
    raw = event(1) + event(2) + DONE
    for cut in range(1, len(raw)):
        checker = StreamChecker("a-1", 10)
        got = checker.feed(raw[:cut])
        got += checker.feed(raw[cut:])
        assert got == raw
        assert checker.done


def test_half_an_event_never_leaves():
    checker = StreamChecker("a-1", 10)
    assert checker.feed(event(1) + event(2)[:-1]) == event(1)
    checker.restart()
    assert checker.feed(event(2) + DONE) == event(2) + DONE


def test_resumed_stream_repeats_nothing():
    checker = StreamChecker("a-1", 10, after=1)
    assert checker.feed(event(1) + event(2) + DONE) == event(2) + DONE


def test_crossed_event_is_caught():
    """A caller would read a part of somebody else's letter.

    The engine mixes up two streams after a restart of its front; the event of the
    other request carries the other id.
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
def test_gaps_unnumbered_and_overlong_streams_are_caught(raw, reason):
    checker = StreamChecker("a-1", 10)
    with pytest.raises(AnswerProblem) as caught:
        checker.feed(raw)
    assert caught.value.reason == reason


def whole(**changes):
    body = {
        "id": "cmpl-a-1",
        "choices": [{"text": "x", "finish_reason": "stop"}],
        "usage": {"completion_tokens": 2},
    }
    return json.dumps({**body, **changes}).encode()


def test_whole_answer_is_taken():
    assert check_whole_answer(whole(), "a-1", 2).output_tokens == 2


@pytest.mark.parametrize(
    ("raw", "reason"),
    [
        (whole(id="cmpl-b-1"), "crossed"),
        (whole(choices=[]), "error"),
        (whole(choices=[{"text": "x", "finish_reason": None}]), "error"),
        (whole()[:-5], "error"),
        (whole(usage={"completion_tokens": 3}), "error"),
        (b"[]", "error"),
    ],
)
def test_cut_or_foreign_answers_are_caught(raw, reason):
    with pytest.raises(AnswerProblem) as caught:
        check_whole_answer(raw, "a-1", 2)
    assert caught.value.reason == reason
