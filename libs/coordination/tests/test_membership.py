"""`Membership`: suspicion and recovery, leaving endpoints, bounded messages."""

import msgpack
import pytest

from gypsumusher_coordination.membership import (
    ENDPOINT_SOURCE,
    PLATFORM_SOURCE,
    Membership,
    MembershipPolicy,
    max_message_bytes,
)

POLICY = MembershipPolicy()


def make_cell(count, endpoints=()):
    names = {f"host-{number}": f"incarnation-{number}" for number in range(count)}
    cell = {name: Membership(name, incarnation) for name, incarnation in names.items()}
    for member in cell.values():
        member.set_hosts(0.0, names)
        for endpoint in endpoints:
            member.on_source_report(0.0, endpoint, PLATFORM_SOURCE, False)
    return cell


def exchange(cell, now_s, unreachable=(), on_message=lambda sender, message: None):
    for name, member in cell.items():
        for probe in member.tick(now_s):
            on_message(name, probe.message)
            if name in unreachable or probe.host in unreachable:
                member.on_probe_failed(now_s, probe.host)
                continue
            answer = cell[probe.host].on_probe(now_s, name, probe.message)
            on_message(probe.host, answer)
            member.on_probe_answer(now_s, probe.host, answer)


def run(cell, start_s, seconds, **options):
    for step in range(int(seconds * 10)):
        exchange(cell, start_s + step / 10, **options)
    return start_s + seconds


def test_a_paused_host_is_suspect_until_its_first_response():
    """A host doesn't respond for a few seconds and recovers.

    The other hosts route around it after two failed probes, so callers get no refusal.
    It is live again with its first response, because suspicions are not gossiped.
    """
    cell = make_cell(3)
    now_s = run(cell, 0.0, 6.0, unreachable={"host-2"})
    assert cell["host-0"].host_state("host-2") == "suspect"
    assert cell["host-0"].host_state("host-1") == "live"
    run(cell, now_s, POLICY.probe_interval_s + 0.2)
    assert cell["host-0"].host_state("host-2") == "live"


def test_a_stopping_host_is_leaving_until_its_next_incarnation():
    cell = make_cell(2)
    cell["host-1"].set_leaving()
    run(cell, 0.0, 3.0)
    assert cell["host-0"].host_state("host-1") == "leaving"
    cell["host-0"].set_hosts(4.0, {"host-1": "next"})
    late = {"incarnation": "incarnation-1", "leaving": True, "facts": []}
    cell["host-0"].on_probe(4.1, "host-1", late)
    assert cell["host-0"].host_state("host-1") == "live"
    assert cell["host-0"].host_state("elsewhere") == "suspect"


@pytest.mark.parametrize("source", [PLATFORM_SOURCE, ENDPOINT_SOURCE])
def test_a_leaving_endpoint_is_known_to_all_hosts_within_a_second(source):
    """The platform's list lags, and only one host knows that the endpoint is leaving.

    Without gossip the other hosts would send requests to the endpoint until their own
    lists catch up. Their stale lists must not put it back into service either.
    """
    cell = make_cell(8, ["engine"])
    now_s = run(cell, 0.0, 3.0)
    cell["host-0"].on_source_report(now_s, "engine", source, True)
    now_s = run(cell, now_s, 1.0)
    for member in cell.values():
        member.on_source_report(
            now_s, "engine", PLATFORM_SOURCE, member is cell["host-0"]
        )
    assert all(member.is_endpoint_leaving("engine") for member in cell.values())


def test_an_endpoint_that_returns_is_live_again():
    cell = make_cell(3, ["engine"])
    now_s = 0.0
    for is_leaving in (True, False, True, False):
        cell["host-1"].on_source_report(now_s, "engine", PLATFORM_SOURCE, is_leaving)
        now_s = run(cell, now_s, 3.0)
        for member in cell.values():
            assert member.is_endpoint_leaving("engine") == is_leaving


def test_the_endpoint_state_does_not_override_the_list():
    member = make_cell(1)["host-0"]
    member.on_source_report(0.0, "engine", PLATFORM_SOURCE, True)
    member.on_source_report(1.0, "engine", ENDPOINT_SOURCE, False)
    assert member.is_endpoint_leaving("engine")


def test_a_contradiction_longer_than_the_source_lag_wins():
    """Two hosts increment a counter concurrently, for leaving and for live.

    Leaving wins. The list of the host that reported the endpoint as live doesn't change
    any more, so without `source_lag_s` the endpoint would stay out of service
    permanently.
    """
    member = make_cell(2, ["engine"])["host-0"]
    message = {"incarnation": "incarnation-1", "leaving": False}
    member.on_probe(1.0, "host-1", {**message, "facts": [["engine", 0, 5, 1]]})
    member.on_source_report(2.0, "engine", PLATFORM_SOURCE, False)
    assert member.is_endpoint_leaving("engine")
    member.on_source_report(2.0 + POLICY.source_lag_s, "engine", PLATFORM_SOURCE, False)
    assert not member.is_endpoint_leaving("engine")


def test_concurrent_increments_agree_on_leaving():
    member = make_cell(2, ["engine"])["host-0"]
    member.on_source_report(1.0, "engine", PLATFORM_SOURCE, True)
    member.on_source_report(2.0, "engine", PLATFORM_SOURCE, False)
    message = {"incarnation": "incarnation-1", "leaving": False}
    member.on_probe(3.0, "host-1", {**message, "facts": [["engine", 0, 2, 1]]})
    assert member.is_endpoint_leaving("engine")
    member.on_probe(4.0, "host-1", {**message, "facts": [["engine", 0, 2, 0]]})
    assert member.is_endpoint_leaving("engine")


def test_a_state_that_changes_during_a_probe_is_sent_again():
    member = make_cell(2, ["engine"])["host-0"]
    member.on_source_report(9.0, "engine", PLATFORM_SOURCE, True)
    [probe] = member.tick(9.0)
    member.on_source_report(9.1, "engine", PLATFORM_SOURCE, False)
    answer = {"incarnation": "incarnation-1", "leaving": False, "facts": []}
    member.on_probe_answer(9.2, "host-1", answer)
    [probe] = member.tick(9.5)
    assert probe.message["facts"] == [["engine", 0, 2, 0]]
    member.on_probe_answer(9.6, "host-1", answer)
    assert member.tick(9.9) == []


def test_8_hosts_and_25_endpoints_stay_below_2_kb_per_second():
    """Every endpoint leaves and returns once a minute, as reported by every host."""
    endpoints = [f"engine-{number:03}.suwon-a" for number in range(25)]
    cell = make_cell(8, endpoints)
    sent_bytes = dict.fromkeys(cell, 0)

    def count(sender, message):
        assert len(msgpack.packb(message)) <= max_message_bytes(message)
        assert len(message["facts"]) <= POLICY.updates_per_message
        sent_bytes[sender] += max_message_bytes(message)

    now_s = 0.0
    for second in range(120):
        for number, endpoint in enumerate(endpoints):
            if number % 30 != second % 30:
                continue
            for member in cell.values():
                is_leaving = second // 30 % 2 == 0
                member.on_source_report(now_s, endpoint, PLATFORM_SOURCE, is_leaving)
        now_s = run(cell, now_s, 1.0, on_message=count)
    assert max(sent_bytes.values()) / 120 < 2_000


@pytest.mark.parametrize(
    "message",
    [
        None,
        {"incarnation": 1, "leaving": False, "facts": []},
        {"incarnation": "x", "leaving": 1, "facts": []},
        {"incarnation": "x", "leaving": False, "facts": {}},
        {"incarnation": "x", "leaving": False, "facts": [["engine", 0, 1]]},
        {"incarnation": "x", "leaving": False, "facts": [["engine", 2, 1, 1]]},
        {"incarnation": "x", "leaving": False, "facts": [["engine", 0, 2**60, 1]]},
        {"incarnation": "x", "leaving": False, "facts": [["e" * 999, 0, 1, 1]]},
        {"incarnation": "x", "leaving": False, "facts": [["engine", 1.0, 1, 1]]},
    ],
)
def test_a_malformed_message_is_refused(message):
    with pytest.raises(ValueError, match="message"):
        make_cell(2)["host-0"].on_probe(0.0, "host-1", message)
