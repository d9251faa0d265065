"""Background tasks that outlive errors which nobody has foreseen."""

import asyncio

__all__ = ["keep_running"]

# First and longest pause before a task is started again.
FIRST_PAUSE_S, MAX_PAUSE_S = 0.1, 5.0


def keep_running(function, log, *arguments):
    """Start a task that runs a coroutine function, again after each exception.

    A component whose task has ended is out of order for the rest of the process's life,
    while requests and other hosts rely on it. The pauses grow with each exception, and
    begin anew once the function has run for longer than the longest.

    Parameters
    ----------
    function : coroutine function
        A loop whose state doesn't depend on where an exception left it.
    log : callable
        Log of the process.
    *arguments
        Passed to the function.

    Returns
    -------
    asyncio.Task
        Ends when the function returns or the task is cancelled.
    """
    return asyncio.ensure_future(_run(function, log, arguments))


async def _run(function, log, arguments):
    clock = asyncio.get_running_loop().time
    pause_s = FIRST_PAUSE_S
    while True:
        began_s = clock()
        try:
            await function(*arguments)
            return
        except Exception as error:
            if clock() - began_s > MAX_PAUSE_S:
                pause_s = FIRST_PAUSE_S
            name = function.__qualname__
            text = repr(error)
            log("error", "background_failed", task=name, error=text, retry_s=pause_s)
        await asyncio.sleep(pause_s)
        pause_s = min(2.0 * pause_s, MAX_PAUSE_S)
