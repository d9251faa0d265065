"""A part of prompts that crashes engines isn't sent on, and sound prompts are."""

import asyncio

import pytest
from crash_harness import CRASHING_PART, crashing_fleet
from host_harness import RESUMABLE_ROUTE, STREAM_ROUTE, run

# The rule: crashes from which on a part has to be known, the time that hosts may take
# to tell each other, and how many more prompts with it may reach engines.
CRASHES, KNOWN_S, SENDS_MAX = 5, 3.0, 3
# Share of the sound prompts that must be served still, of what was before.
SERVED_SHARE = 0.5
CRASHING_INTERVAL_S, SOUND_INTERVAL_S = 0.25, 0.08
# Time for which prompts are sent, and the last part of it, in which the sound ones are
# counted.
SENT_FOR_S, COUNTED_S = 8.0, 2.5


def in_the_middle(number):
    return "a1", CRASHING_PART, "a2", f"f{number:x}"


def first(number):
    return CRASHING_PART, "a1", "a2", f"f{number:x}"


def anywhere(number):
    """Stand at another place, after other parts, in each prompt."""
    parts = [f"a{1 + (number + n) % 4}" for n in range(3)]
    parts.insert(number % 4, CRASHING_PART)
    return *parts, f"f{number:x}"


def sound(number):
    """Share all other parts of the prompts above."""
    return *[f"a{1 + (number * (n + 1)) % 4}" for n in range(3)], f"f{number:x}"


def sound_shared(number):
    return "a1", "a2", f"f{number:x}"


def send_both(fleet, make_sound, make_crashing):
    """Send sound prompts, and prompts with the part that crashes engines."""
    fleet.spawn(fleet.send_prompts(SOUND_INTERVAL_S, make_sound))
    fleet.spawn(fleet.send_prompts(CRASHING_INTERVAL_S, make_crashing))


def check(fleet):
    """Assert both rules: few more sends, and sound prompts served."""
    loop_s = asyncio.get_running_loop().time()
    known_s = fleet.crashes_s[CRASHES - 1] + KNOWN_S
    assert loop_s > known_s + 1.0
    late = [at_s for at_s in fleet.arrivals_s if at_s > known_s]
    assert len(late) <= SENDS_MAX
    served = [
        result.is_complete
        for result in fleet.results
        if CRASHING_PART not in result.parts and result.sent_s > loop_s - COUNTED_S
    ]
    assert len(served) >= 20
    assert sum(served) >= SERVED_SHARE * len(served)


# Guards against a part that crashes one engine after the other in prompts that differ
# in all else, and against sound prompts that are refused for what they share with it.
@pytest.mark.parametrize("make_parts", (in_the_middle, first, anywhere))
def test_part_in_any_place_is_refused(make_parts):
    async def scenario():
        async with crashing_fleet(8) as fleet:
            send_both(fleet, sound, make_parts)
            await asyncio.sleep(SENT_FOR_S)
            check(fleet)

    run(scenario())


# The same where streams that break off are resumed at another engine at once.
def test_part_in_streams_that_are_resumed_is_refused():
    async def scenario():
        async with crashing_fleet(8, route=RESUMABLE_ROUTE) as fleet:
            send_both(fleet, sound_shared, in_the_middle)
            await asyncio.sleep(SENT_FOR_S)
            check(fleet)

    run(scenario())


# The same where engines of another stage read the prompts, which says nothing for them.
def test_part_is_refused_with_prefill_apart():
    async def scenario():
        stages = ("prefill", "decode")
        async with crashing_fleet(6, stages=stages) as fleet:
            send_both(fleet, sound_shared, in_the_middle)
            await asyncio.sleep(SENT_FOR_S)
            check(fleet)

    run(scenario())


# The same beside engines that crash for another reason, under sound prompts too.
def test_part_is_refused_beside_other_crashes():
    async def scenario():
        async with crashing_fleet(8) as fleet:
            send_both(fleet, sound, in_the_middle)
            fleet.spawn(fleet.crash_engines(2.0))
            await asyncio.sleep(SENT_FOR_S)
            check(fleet)

    run(scenario())


# The same where a host ends while the losses are counted.
def test_part_is_refused_after_the_loss_of_one_host():
    async def scenario():
        async with crashing_fleet(8, host_count=3) as fleet:
            send_both(fleet, sound_shared, in_the_middle)
            while len(fleet.crashes_s) < CRASHES - 2:
                await asyncio.sleep(0.01)
            await fleet.close_host(fleet.hosts[0])
            await asyncio.sleep(SENT_FOR_S)
            check(fleet)

    run(scenario())


# Guards against a part that is learnt anew, at an engine's cost each time, by the
# hosts that start after the loss of all.
def test_part_is_refused_after_the_loss_of_all_hosts():
    async def scenario():
        async with crashing_fleet(8) as fleet:
            send_both(fleet, sound_shared, in_the_middle)
            while len(fleet.crashes_s) < CRASHES:
                await asyncio.sleep(0.01)
            await asyncio.sleep(KNOWN_S)
            for host in list(fleet.hosts):
                await fleet.close_host(host)
            await asyncio.sleep(0.5)
            count = len(fleet.arrivals_s)
            await fleet.start_host()
            await asyncio.sleep(COUNTED_S + 0.5)
            assert len(fleet.arrivals_s) - count <= SENDS_MAX
            check(fleet)

    run(scenario())


# Guards against prompts that are refused for crashes no part is to blame for, among
# them those of sessions, whose parts few prompts share.
@pytest.mark.parametrize("route", (STREAM_ROUTE, RESUMABLE_ROUTE))
def test_no_part_is_blamed_for_crashes_of_engines(route):
    def in_sessions(number):
        return "a1", f"b{number % 9}", f"c{number % 40:x}", f"f{number:x}"

    async def scenario():
        async with crashing_fleet(8, route=route) as fleet:
            fleet.spawn(fleet.send_prompts(SOUND_INTERVAL_S, in_sessions))
            fleet.spawn(fleet.crash_engines(0.35))
            await asyncio.sleep(SENT_FOR_S)
            events = {event for _, event, _ in fleet.lines}
            assert "send_failed" in events
            assert "content_refused" not in events
            served = [r.is_complete for r in fleet.results]
            assert sum(served) >= SERVED_SHARE * len(served)

    run(scenario())
