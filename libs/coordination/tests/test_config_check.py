"""Each problem of a document is reported with its path, the value and the fix."""

import copy

import pytest

from gypsumusher_coordination import check_document, fill_defaults

DOCUMENT = {
    "deployments": {
        "letter-models": {
            "model": "letter-7b",
            "version": "1",
            "default_class": "standard",
            "classes": {
                "counter": {
                    "rank": 0,
                    "first_token_s": 1.5,
                    "between_tokens_s": 0.05,
                    "deadline_s": 10,
                },
                "standard": {
                    "rank": 1,
                    "first_token_s": 5.0,
                    "between_tokens_s": 0.1,
                    "deadline_s": 60,
                },
            },
            "tenant_weights": {"clinic 7": 2},
            "role_change_price_s": 2.0,
            "role_change_s": 5.0,
            "dwell_s": 60.0,
            "shifting": True,
            "fencing": "refuses",
            "order_timeout_s": 2.0,
            "platform_down": "refuse",
            "retry_ratio": 0.1,
            "cell_hosts": 8,
            "loads_at_once": 2,
            "drain": ["10.0.0.1:80"],
        }
    },
    "services": {
        "counter-api": {
            "repeatable_methods": ["GET", "HEAD"],
            "timeout_s": 30.0,
            "drain": [],
        }
    },
    "hosts": {"drain": [], "stale_config": "stop", "stale_limit_s": 8.0},
}


def changed(path, value):
    document = copy.deepcopy(DOCUMENT)
    *parents, last = path.split("/")
    parent = document
    for key in parents:
        parent = parent[key]
    parent[last] = value
    return document


def test_full_and_empty_documents_are_valid():
    assert check_document(DOCUMENT) == []
    assert check_document({}) == []
    assert fill_defaults(DOCUMENT) == DOCUMENT


def test_omitted_keys_get_valid_defaults():
    classes = DOCUMENT["deployments"]["letter-models"]["classes"]
    short = {"model": "m", "version": "1", "default_class": "counter"}
    document = {"deployments": {"d": short | {"classes": classes}}}
    assert check_document(document) == []
    filled = fill_defaults(document)
    assert check_document(filled) == []
    assert filled["deployments"]["d"]["fencing"] == "ignores"
    assert filled["hosts"]["stale_config"] == "stop"


D = "deployments/letter-models"


@pytest.mark.parametrize(
    "path, value",
    [
        ("extra", {}),
        ("deployments", []),
        ("deployments/a b", {}),
        ("deployments/empty", {}),
        (f"{D}/dwell", 3),
        (f"{D}/model", 7),
        (f"{D}/model", ""),
        (f"{D}/version", 1),
        (f"{D}/default_class", "bulk"),
        (f"{D}/classes", {}),
        (f"{D}/classes/counter/rank", 1),
        (f"{D}/classes/counter/rank", True),
        (f"{D}/classes/counter/rank", -1),
        (f"{D}/classes/counter/first_token_s", 11),
        (f"{D}/classes/counter/first_token_s", 0),
        (f"{D}/classes/counter/deadline_s", float("nan")),
        (f"{D}/classes/counter/deadline_s", "10 s"),
        (f"{D}/tenant_weights", {"a": 0}),
        (f"{D}/role_change_price_s", -1.0),
        (f"{D}/shifting", "yes"),
        (f"{D}/fencing", "ignore"),
        (f"{D}/fencing", []),
        (f"{D}/order_timeout_s", 0),
        (f"{D}/platform_down", None),
        (f"{D}/retry_ratio", 1.5),
        (f"{D}/cell_hosts", 0),
        (f"{D}/cell_hosts", 8.0),
        (f"{D}/loads_at_once", 0),
        (f"{D}/drain", "engine-1"),
        (f"{D}/drain", [1]),
        ("services/counter-api/timeout_s", 0.0),
        ("services/counter-api/timeout_s", float("inf")),
        ("services/counter-api/repeatable_methods", ["get"]),
        ("hosts/stale_config", "go"),
        ("hosts/stale_limit_s", 12.0),
    ],
)
def test_each_problem_is_reported_with_its_fix(path, value):
    problems = check_document(changed(path, value))
    assert problems
    dotted = path.replace("/", ".")
    for problem in problems:
        shares_path = problem.path.startswith(dotted) or dotted.startswith(problem.path)
        assert shares_path, problem
        assert problem.problem and problem.mend


@pytest.mark.parametrize("document", [None, [], "text", 7, {1: 2}])
def test_values_that_are_not_documents_are_invalid(document):
    assert check_document(document)


def test_missing_keys_are_reported():
    document = copy.deepcopy(DOCUMENT)
    del document["deployments"]["letter-models"]["model"]
    (problem,) = check_document(document)
    assert problem.path == "deployments.letter-models.model"
    assert problem.problem == "is missing"
