"""Planned stop of the daemon when a step of it fails."""

import asyncio
import functools
from unittest.mock import AsyncMock, MagicMock

import pytest

from gypsumusher_daemon.host import EntryHost

STEPS = ["stewards.release", "peer_network.gossip_now", "directory.withdraw"]


# Guards against a planned stop that cuts requests off because a step of it failed.
@pytest.mark.parametrize("name", [*STEPS, "journals.seal_own"])
def test_stop_goes_on_when_a_step_fails(name):
    host = MagicMock(state="serving", tasks=())
    host.clock.side_effect = range(100)
    host.settings = {"callers.entry_max_age_s": 0.0, "stop.grace_s": 50.0}
    host._running.side_effect = [3, 2, 0, 0]
    for path in (*STEPS, "journals.seal_own", "_serve_while_cached", "close"):
        host.configure_mock(**{path: AsyncMock()})
    host.configure_mock(**{f"{name}.side_effect": RuntimeError("unforeseen")})
    host._try_to = functools.partial(EntryHost._try_to, host)
    asyncio.run(EntryHost.stop(host))
    assert host._running.call_count == 4
    host._serve_while_cached.assert_awaited_once()
    host.close.assert_awaited_once()
