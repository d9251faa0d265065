"""Settings are validated together, and each message states the remedy."""

import pytest

from gypsumusher_daemon.errors import SettingsError
from gypsumusher_daemon.settings import SETTINGS, check_settings, load_settings

GOOD = """
host: {name: a, zone: suwon-a}
operators: {token: "0123456789abcdef"}
peers:
  keys:
    - {id: k1, secret: "0123456789abcdef"}
platform: {urls: ["http://127.0.0.1:1"], token: t}
"""


def problems_of(text):
    with pytest.raises(SettingsError) as caught:
        check_settings(text, "x.yaml")
    return str(caught.value)


def test_defaults_fill_every_setting():
    settings = check_settings(GOOD, "x.yaml")
    assert set(settings) == {setting.key for setting in SETTINGS}
    assert settings["peers.keys"][0].id == "k1"


def test_all_problems_are_reported_at_once_with_their_lines():
    text = GOOD + "callers: {port: 70000, entry_max_age: 5}\nlog: {level: loud}\n"
    message = problems_of(text)
    assert "x.yaml: line 8: callers.port: 70000 is outside" in message
    assert "did you mean callers.entry_max_age_s" in message
    assert "log.level: 'loud' is none of debug" in message


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", "expected a mapping"),
        ("a: [", "not YAML"),
        (GOOD.replace("a, zone", "3, zone"), "host.name: 3 is not a text"),
        (GOOD.replace("zone: suwon-a", ""), "host.zone: missing"),
        (GOOD + "host: {name: b}\n", "host.name: stands twice"),
        (GOOD.replace('"0123456789abcdef"}', "short}"), "operators.token: is shorter"),
        (GOOD.replace("id: k1, ", ""), "exactly the keys id and secret"),
        (GOOD + "stop: {grace_s: soon}\n", "'soon' is not a number in s"),
        (GOOD + "stop: {grace_s: true}\n", "True is not a number"),
    ],
)
def test_bad_settings_name_the_key_and_the_remedy(text, expected):
    assert expected in problems_of(text)


def test_missing_file_is_a_settings_error(tmp_path):
    with pytest.raises(SettingsError, match="can't be read"):
        load_settings(tmp_path / "none.yaml")
