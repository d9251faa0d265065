"""Which request is convicted of crashing engines, when several were lost together."""

from gypsumusher_policy import Quarantine
from gypsumusher_policy.quarantine import EVALUATION_DELAY_S
from gypsumusher_policy.suspect_scheduling import own_engine

BAD, GOOD = "f-bad", "f-good"


def lose(quarantine, now_s, endpoint, *fingerprints, past_prompt=()):
    """Crash an engine that runs some contents; return the convicted ones."""
    for fingerprint in fingerprints:
        quarantine.on_start(now_s, fingerprint, endpoint)
    for fingerprint in past_prompt:
        quarantine.on_first_token(fingerprint, endpoint)
    convicts = quarantine.on_crash(now_s, endpoint)
    return [add_conviction.fingerprint for add_conviction in convicts]


def test_a_neighbour_past_its_prompt_is_not_convicted_for_the_next_suspect():
    """An innocent letter is answered "crashing request" for good.

    It shared an engine with the bad one and was tried first on the next engine. It
    got through its prompt, so that the bad one was tried there too while it ran on.
    Cause: both had now lost two engines, and the first of them was convicted, which
    cleared the bad one.
    """
    quarantine = Quarantine()
    assert lose(quarantine, 0.0, "e1", GOOD, BAD) == []
    assert lose(quarantine, 9.0, "e2", GOOD, BAD, past_prompt=[GOOD]) == [BAD]
    assert quarantine.status_of(GOOD) == "clear"


def test_two_suspects_at_their_prompts_convict_neither():
    """Two suspects of two hosts meet on one engine, and both are refused for good.

    Cause: that two crashes convict, whoever else ran there.
    """
    quarantine = Quarantine()
    lose(quarantine, 0.0, "e1", GOOD, BAD)
    assert lose(quarantine, 9.0, "e2", GOOD, BAD) == []
    assert quarantine.status_of(GOOD) == quarantine.status_of(BAD) == "suspect"
    assert lose(quarantine, 18.0, "e3", BAD) == [BAD]
    assert quarantine.status_of(GOOD) == "clear"


def test_a_suspect_that_runs_on_is_spared_when_another_host_loses_the_engine():
    """An innocent letter that streams is convicted by a bad one of another host.

    This host sees one suspect alone on the engine; the bad request, which crashed it,
    came through another host.
    """
    quarantine = Quarantine()
    lose(quarantine, 0.0, "e1", GOOD)
    assert lose(quarantine, 9.0, "e2", GOOD, past_prompt=[GOOD]) == []
    assert quarantine.status_of(GOOD) == "suspect"


def test_a_content_that_crashes_engines_late_is_convicted_by_the_third():
    """A request crashes each engine after its first token, and is never refused.

    Cause: whoever is past its prompt is always spared.
    """
    quarantine = Quarantine()
    lose(quarantine, 0.0, "e1", BAD, GOOD, past_prompt=[BAD])
    assert lose(quarantine, 9.0, "e2", BAD, past_prompt=[BAD]) == []
    assert lose(quarantine, 18.0, "e3", BAD, past_prompt=[BAD]) == [BAD]


def test_the_word_of_a_peer_counts_like_an_own_crash():
    """Peers convict the innocent that the host which lost the engine has spared."""
    quarantine = Quarantine()
    quarantine.on_suspicions(0.0, {GOOD: ["e1"], BAD: ["e1"]})
    told = {GOOD: ["e2"], BAD: ["e2"]}
    convicts = quarantine.on_suspicions(9.0, told, [GOOD])
    assert [convict.fingerprint for convict in convicts] == [BAD]


def test_a_verdict_waits_for_the_word_of_the_other_hosts():
    """Each of two hosts loses one suspect with the engine and convicts it at once.

    Both suspects ran on that engine, one of them innocent; each host hears of the
    other's some milliseconds later.
    """
    quarantine = Quarantine(EVALUATION_DELAY_S)
    lose(quarantine, 0.0, "e1", GOOD)
    quarantine.on_suspicions(0.0, {BAD: ["e1"]})
    assert lose(quarantine, 9.0, "e2", GOOD) == []
    assert quarantine.on_suspicions(9.1, {BAD: ["e2"]}) == []
    assert quarantine.pending_crashes
    assert quarantine.evaluate_due(9.0 + EVALUATION_DELAY_S) == []
    assert not quarantine.pending_crashes
    assert quarantine.status_of(GOOD) == quarantine.status_of(BAD) == "suspect"


def test_a_verdict_that_nobody_disputes_is_given_after_its_wait():
    """A request that crashes engines goes on doing so while its verdict waits."""
    quarantine = Quarantine(EVALUATION_DELAY_S)
    lose(quarantine, 0.0, "e1", BAD, GOOD)
    assert lose(quarantine, 9.0, "e2", BAD) == []
    assert quarantine.evaluate_due(9.0) == []
    convicts = quarantine.evaluate_due(9.0 + EVALUATION_DELAY_S)
    assert [convict.fingerprint for convict in convicts] == [BAD]
    assert convicts[0].endpoints == ("e1", "e2")


def test_hosts_that_may_use_different_engines_try_suspects_apart():
    """Two hosts try a suspect on the same engine, and an innocent one is convicted.

    One host's request may not use e2, where it has failed; the other's may use all.
    Cause: each counts its place among the engines that its own request may use.
    """
    engines = [(True, f"e{number}") for number in range(1, 6)]
    hosts = ["h1", "h2", "h3"]

    def chosen(host, usable):
        return own_engine(host, [h for h in hosts if h != host], engines, usable)

    left = ["e2", "e3", "e4", "e5"]
    assert chosen("h1", left) == "e4"
    assert chosen("h2", ["e3", "e4", "e5"]) == "e5"
    assert chosen("h3", left) == "e3"
    assert chosen("h2", ["e1"]) == "e1", "better together than never"
    assert chosen("h1", []) is None
