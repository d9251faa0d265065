"""Periodic tasks of one host wake up together."""

import asyncio

from host_harness import run, settings

from gypsumusher_entry.context import Context
from gypsumusher_entry.metrics import Metrics

LOOPS, PERIOD_S = 8, 0.05


def test_periodic_work_wakes_together():
    """Idle hosts spent most of their CPU time on eight independent timers."""

    async def scenario():
        clock = asyncio.get_running_loop().time
        parts = settings("127.0.0.1:1", "127.0.0.1", "host-1", (), 1), clock
        context = Context(*parts, lambda *args, **fields: None, Metrics())
        woken_s = []

        async def wake(delay_s):
            await asyncio.sleep(delay_s)
            await context.wait_for_tick(PERIOD_S)
            woken_s.append(clock())

        # Started over half of a period, some before a tick and some after it.
        delays_s = [number * PERIOD_S / (2 * LOOPS) for number in range(LOOPS)]
        await asyncio.gather(*(wake(delay_s) for delay_s in delays_s))
        ticks = {round(at_s / PERIOD_S, 1) for at_s in woken_s}
        assert len(ticks) <= 2, ticks
        await context.close()

    run(scenario())
