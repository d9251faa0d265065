"""Account of the endpoints at which one request may have run."""

from enum import Enum

__all__ = ["PossibleRun", "RunAccount"]


class _State(Enum):
    """What is known of one send."""

    CONNECTING = "connecting"
    SENT = "sent"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNSENT = "unsent"


# States in which no endpoint runs the request, or will.
_WITHOUT_RUN = (_State.NOT_RUN, _State.UNSENT)


class PossibleRun:
    """One send of a request, from the choice of its endpoint on.

    Each call describes an event at most once: what comes after the end of a send, such
    as a second response, changes nothing.
    """

    def __init__(self):
        self._state = _State.CONNECTING

    def on_sent(self) -> None:
        """Record that the first byte is about to leave for the endpoint."""
        self._move(_State.CONNECTING, _State.SENT)

    def on_unsent(self) -> None:
        """Record that nothing was sent, and nothing will be."""
        self._move(_State.CONNECTING, _State.UNSENT)

    def on_answered(self) -> None:
        """Record that the endpoint has responded as one that ran the request."""
        self._move(_State.SENT, _State.ANSWERED)

    def on_not_run(self) -> None:
        """Record the endpoint's own word that it has not run the request."""
        self._move(_State.SENT, _State.NOT_RUN)

    @property
    def may_have_run(self) -> bool:
        """Whether the endpoint may have run the request, or may still run it."""
        return self._state in (_State.SENT, _State.ANSWERED)

    @property
    def may_still_run(self) -> bool:
        """Whether the endpoint may have run the request or may yet be sent it."""
        return self._state not in _WITHOUT_RUN

    def _move(self, before, after):
        if self._state is before:
            self._state = after


class RunAccount:
    """All sends of one request, which decide whether it may be sent once more."""

    def __init__(self):
        self._runs = []

    def begin(self) -> PossibleRun:
        """Add a send, whose connection counts already while it is being opened."""
        run = PossibleRun()
        self._runs.append(run)
        return run

    @property
    def may_have_run(self) -> bool:
        """Whether any endpoint may have run the request, or may still run it."""
        return any(run.may_have_run for run in self._runs)

    def may_begin(self, is_repeatable: bool, max_endpoints: int) -> bool:
        """Return whether the request may be sent to another endpoint.

        Parameters
        ----------
        is_repeatable : bool
            Whether the request may run more than once.
        max_endpoints : int
            Number of endpoints that may run it.
        """
        possible = sum(run.may_still_run for run in self._runs)
        return possible < (max_endpoints if is_repeatable else 1)
