"""Conviction of crashing content when several requests share a crashed engine."""

from gypsumusher_policy import Quarantine
from gypsumusher_policy.quarantine import EVALUATION_DELAY_S
from gypsumusher_policy.suspect_scheduling import choose_suspect_engine

BAD, GOOD = "f-bad", "f-good"


def crash(quarantine, now_s, endpoint, *fingerprints, past_prompt=()):
    """Crash an engine that runs some content; return the convicted fingerprints."""
    for fingerprint in fingerprints:
        quarantine.on_start(now_s, fingerprint, endpoint)
    for fingerprint in past_prompt:
        quarantine.on_first_token(fingerprint, endpoint)
    convictions = quarantine.on_crash(now_s, endpoint)
    return [conviction.fingerprint for conviction in convictions]


def test_suspect_past_its_prefill_is_not_convicted_for_another_one():
    """Guards against a harmless request that is refused as a crashing one for good.

    It shared an engine with the bad request and was tried first on the next engine.
    After its prefill, the bad request was tried there as well. Each of them had then
    been on two crashed engines; convicting the first one made the bad one clear.
    """
    quarantine = Quarantine()
    assert crash(quarantine, 0.0, "e1", GOOD, BAD) == []
    assert crash(quarantine, 9.0, "e2", GOOD, BAD, past_prompt=[GOOD]) == [BAD]
    assert quarantine.status_of(GOOD) == "clear"


def test_two_suspects_in_prefill_on_one_engine_are_not_convicted():
    """Guards against two suspects, one of them harmless, that are both convicted.

    Two hosts try their suspects on the same engine. Two crashes must not convict
    while another suspect was in prefill there.
    """
    quarantine = Quarantine()
    crash(quarantine, 0.0, "e1", GOOD, BAD)
    assert crash(quarantine, 9.0, "e2", GOOD, BAD) == []
    assert quarantine.status_of(GOOD) == quarantine.status_of(BAD) == "suspect"
    assert crash(quarantine, 18.0, "e3", BAD) == [BAD]
    assert quarantine.status_of(GOOD) == "clear"


def test_decoding_suspect_is_spared_if_another_host_may_have_crashed_the_engine():
    """Guards against a harmless request convicted for one of another host.

    This host knows of one suspect on the engine, which is in decode. The request that
    crashed the engine came through another host.
    """
    quarantine = Quarantine()
    crash(quarantine, 0.0, "e1", GOOD)
    assert crash(quarantine, 9.0, "e2", GOOD, past_prompt=[GOOD]) == []
    assert quarantine.status_of(GOOD) == "suspect"


def test_content_that_crashes_engines_in_decode_is_convicted_at_the_third_crash():
    """Guards against a request that crashes every engine after its first token.

    It would never be refused if content past its prefill were always spared.
    """
    quarantine = Quarantine()
    crash(quarantine, 0.0, "e1", BAD, GOOD, past_prompt=[BAD])
    assert crash(quarantine, 9.0, "e2", BAD, past_prompt=[BAD]) == []
    assert crash(quarantine, 18.0, "e3", BAD, past_prompt=[BAD]) == [BAD]


def test_suspicions_from_a_peer_count_like_own_crashes():
    """Guards against peers that convict content spared by the host that ran it."""
    quarantine = Quarantine()
    quarantine.on_suspicions(0.0, {GOOD: ["e1"], BAD: ["e1"]})
    from_peer = {GOOD: ["e2"], BAD: ["e2"]}
    convictions = quarantine.on_suspicions(9.0, from_peer, [GOOD])
    assert [conviction.fingerprint for conviction in convictions] == [BAD]


def test_evaluation_waits_for_reports_from_other_hosts():
    """Guards against a harmless suspect convicted before all hosts have reported.

    Two hosts ran one suspect each on the crashed engine, and each receives the
    other's report some milliseconds later.
    """
    quarantine = Quarantine(EVALUATION_DELAY_S)
    crash(quarantine, 0.0, "e1", GOOD)
    quarantine.on_suspicions(0.0, {BAD: ["e1"]})
    assert crash(quarantine, 9.0, "e2", GOOD) == []
    assert quarantine.on_suspicions(9.1, {BAD: ["e2"]}) == []
    assert quarantine.pending_crashes
    assert quarantine.evaluate_due(9.0 + EVALUATION_DELAY_S) == []
    assert not quarantine.pending_crashes
    assert quarantine.status_of(GOOD) == quarantine.status_of(BAD) == "suspect"


def test_undisputed_suspect_is_convicted_after_the_evaluation_delay():
    """Guards against crashing content that stays unconvicted after the delay."""
    quarantine = Quarantine(EVALUATION_DELAY_S)
    crash(quarantine, 0.0, "e1", BAD, GOOD)
    assert crash(quarantine, 9.0, "e2", BAD) == []
    assert quarantine.evaluate_due(9.0) == []
    convictions = quarantine.evaluate_due(9.0 + EVALUATION_DELAY_S)
    assert [conviction.fingerprint for conviction in convictions] == [BAD]
    assert convictions[0].endpoints == ("e1", "e2")


def test_hosts_with_different_usable_engines_try_suspects_apart():
    """Guards against two hosts that try their suspects on the same engine.

    One host's request may not use e1, where it has failed; the request of another
    host may not use e2 either. If each host counted its position among the engines
    usable for its own request, two hosts would choose the same one.
    """
    engines = [(True, f"e{number}") for number in range(1, 6)]
    hosts = ["h1", "h2", "h3"]

    def chosen(host, names):
        return choose_suspect_engine(
            host, [h for h in hosts if h != host], engines, names
        )

    usable = ["e2", "e3", "e4", "e5"]
    assert chosen("h1", usable) == "e4"
    assert chosen("h2", ["e3", "e4", "e5"]) == "e5"
    assert chosen("h3", usable) == "e3"
    assert chosen("h2", ["e1"]) == "e1", "sharing an engine is better than no trial"
    assert chosen("h1", []) is None
