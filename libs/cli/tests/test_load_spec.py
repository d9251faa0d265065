import pytest

from gypsumusher_cli.errors import InputError
from gypsumusher_cli.load_spec import (
    make_prompt,
    parse_load_spec,
    plan_arrivals,
    read_load_spec,
)

DOCUMENT = {
    "seed": 7,
    "duration_s": 20.0,
    "classes": {"counter": {"first_token_s": 1.5, "deadline_s": 10}},
    "streams": {
        "checks": {
            "deployment": "letter-models",
            "class": "counter",
            "rate_per_s": 5.0,
            "prompt_chars": [200, 600],
            "tenants": {"branch-1": 3, "branch-2": 1},
        },
        "labels": {"service": "counter-api", "class": "counter", "rate_per_s": 1.0},
    },
    "shifts": [{"at_s": 10.0, "rates_per_s": {"checks": 0.0}}],
}


def test_the_same_seed_draws_the_same_arrivals():
    spec = parse_load_spec(DOCUMENT)
    assert plan_arrivals(spec) == plan_arrivals(spec)
    assert plan_arrivals(spec) != plan_arrivals(spec._replace(seed=8))


def test_a_shift_changes_the_rate_from_its_time_on():
    arrivals = plan_arrivals(parse_load_spec(DOCUMENT))
    checks = [item.at_s for item in arrivals if item.stream == "checks"]
    assert len(checks) > 20
    assert max(checks) < 10.0


def test_prompts_have_the_planned_length_and_are_unique():
    spec = parse_load_spec(DOCUMENT)
    arrivals = plan_arrivals(spec)
    prompts = [make_prompt(spec, item) for item in arrivals]
    assert [len(prompt) for prompt in prompts] == [
        item.prompt_chars for item in arrivals
    ]
    assert len(set(prompts)) == len(prompts)


@pytest.mark.parametrize(
    ("change", "words"),
    [
        ({"duration_s": -1}, "duration_s: is -1; write a number from"),
        ({"duration": 3}, "duration: is not a known key; use one of"),
        ({"streams": {}}, "streams: names no stream"),
        ({"classes": []}, "classes: is []; write a mapping"),
        ({"shifts": [{"at_s": 1, "rates_per_s": {"x": 1}}]}, "x: is no stream"),
        (
            {"streams": {"a": {"class": "counter", "rate_per_s": 1}}},
            "streams.a: needs exactly one target",
        ),
        (
            {"streams": {"a": {"service": "s", "class": "gold", "rate_per_s": True}}},
            "streams.a.class: is 'gold'; name one of the file's classes",
        ),
    ],
)
def test_an_invalid_file_is_refused_with_each_key_and_a_hint(change, words):
    with pytest.raises(InputError) as raised:
        parse_load_spec({**DOCUMENT, **change}, "mix.yaml")
    assert "mix.yaml can't be used" in str(raised.value)
    assert words in str(raised.value)


def test_the_error_for_an_unreadable_file_has_its_name(tmp_path):
    broken = tmp_path / "broken.yaml"
    broken.write_text("seed: [")
    for path in (tmp_path / "absent.yaml", broken):
        with pytest.raises(InputError, match=path.name):
            read_load_spec(path)
