"""The recent events of each request, for operators' queries."""

from collections import OrderedDict

__all__ = ["RequestHistory"]

# About five minutes at 30 requests/s per host; a request takes a few hundred bytes.
REQUESTS_MAX = 10_000
# Events kept per request; later ones are dropped.
EVENTS_MAX = 64


class RequestHistory:
    """Events of the last ``limit`` requests; the oldest request is dropped first."""

    def __init__(self, limit=REQUESTS_MAX):
        self._events = OrderedDict()
        self._limit = limit

    def add(self, request_id, at_s, event, **fields):
        """Add an event to a request's history.

        Parameters
        ----------
        request_id : str
            The request.
        at_s : float
            Boot-time clock of this host.
        event : str
            Name of the event.
        **fields
            Small values, no payloads.
        """
        events = self._events.get(request_id)
        if events is None:
            events = self._events[request_id] = []
            if len(self._events) > self._limit:
                self._events.popitem(last=False)
        if len(events) < EVENTS_MAX:
            events.append({"at_s": at_s, "event": event, **fields})

    def find(self, request_id):
        """Return the events of a request, or None when this host has none."""
        return self._events.get(request_id)
