import json

import pytest

from gypsumusher_cli.response_checker import ResponseChecker


def event(number, text, completion_id="cmpl-1"):
    data = json.dumps({"id": completion_id, "choices": [{"text": text}]})
    return f"id: {number}\ndata: {data}\n\n".encode()


def end(number):
    return f"id: {number}\ndata: [DONE]\n\n".encode()


def check(*events, expected=None):
    checker = ResponseChecker()
    for now_s, part in enumerate(events):
        for line in part.splitlines(keepends=True):
            checker.on_line(float(now_s), line)
    return checker, checker.find_fault(expected)


def test_a_complete_response_has_its_text_and_times():
    checker, fault = check(event(1, "a"), event(2, "b"), end(3), expected="ab")
    assert fault is None
    assert checker.text == "ab"
    assert (checker.first_token_s, checker.inter_token_s) == (0.0, [1.0])


@pytest.mark.parametrize(
    ("events", "kind"),
    [
        ((event(1, "a"),), "incomplete"),
        ((event(1, "a"), end(3)), "incomplete"),
        ((event(1, "a"), end(2)), "incomplete"),
        ((event(1, "a"), event(1, "a"), event(2, "b"), end(3)), "doubled"),
        ((event(1, "a"), event(2, "b"), end(3), event(4, "c")), "doubled"),
        ((event(1, "a"), event(2, "b", "cmpl-2"), end(3)), "crossed"),
        ((event(1, "x"), event(2, "y"), end(3)), "crossed"),
        ((event(1, "a"), event(2, "b"), b"data: [DONE]\n\n"), "incomplete"),
    ],
)
def test_each_fault_of_a_response_is_detected(events, kind):
    assert check(*events, expected="ab")[1].kind == kind


def test_the_incomplete_event_of_a_broken_connection_is_discarded():
    checker = ResponseChecker()
    for line in event(1, "a").splitlines(keepends=True):
        checker.on_line(0.0, line)
    checker.on_line(1.0, b"id: 2\n")
    checker.on_reconnect()
    for part in (event(2, "b"), end(3)):
        for line in part.splitlines(keepends=True):
            checker.on_line(2.0, line)
    assert checker.find_fault("ab") is None


def test_an_error_event_of_the_entry_host_is_recorded():
    error = {"error": {"code": "endpoint_failed", "run": "unknown"}}
    checker, _ = check(event(1, "a"), f"data: {json.dumps(error)}\n\n".encode())
    assert checker.error["code"] == "endpoint_failed"
