"""Streams that are taken up while only one software version has served."""

import pytest
from host_harness import run
from version_harness import UNKNOWN_IDS, versioned_fleet

STREAMS = 16


# Guards against streams that are refused after the loss of all hosts, although only one
# version can have begun them.
def test_all_streams_go_on_after_the_loss_of_all_hosts():
    async def scenario():
        async with versioned_fleet("v1", "v1") as fleet:
            begun = await fleet.begin_and_lose_hosts(STREAMS)
            host = await fleet.start_host()
            for first in begun:
                assert (await fleet.take_up(host, first)).is_complete

    run(scenario())


# Guards against the same after the loss of a host while the store is away.
@pytest.mark.parametrize("fault", ["refuse", "silent"])
def test_streams_go_on_after_the_loss_of_a_host_without_the_store(fault):
    async def scenario():
        async with versioned_fleet("v1", "v1", host_count=3) as fleet:
            lost, *others = fleet.hosts
            begun = [(await fleet.begin(lost))[0] for _ in range(STREAMS)]
            fleet.store.fault = fault
            await fleet.close_host(lost)
            for number, first in enumerate(begun):
                assert (await fleet.take_up(others[number % 2], first)).is_complete
            fleet.store.fault = ""

    run(scenario())


# Guards against streams that are refused because their callers name no known attempt.
@pytest.mark.parametrize("names", UNKNOWN_IDS)
def test_stream_without_a_known_id_goes_on(names):
    async def scenario():
        async with versioned_fleet("v1", "v1") as fleet:
            begun, response = await fleet.begin(fleet.hosts[0])
            response.close()
            last = await fleet.take_up(fleet.hosts[1], begun, **names)
            assert last.is_complete

    run(scenario())
