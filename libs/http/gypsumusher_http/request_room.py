"""Room for large requests, which is taken before they are read."""

import asyncio
from collections import deque
from enum import StrEnum

__all__ = ["SMALL_REQUEST_BYTES", "RequestRoom", "Reservation", "RoomAnswer"]

# Requests of up to this size need no reservation.
SMALL_REQUEST_BYTES = 64 * 1024
# Longest wait for room. A caller leaves a host that hasn't read its request after a
# second.
MAX_WAIT_S = 0.5
# Most bytes that may wait for room, as a share of it. The system buffers what their
# callers send meanwhile.
WAITING_SHARE = 1 / 3
# A request that arrives so slowly that it would take longer than this gives its room
# up to others, but not within the first second.
MAX_ARRIVAL_S, MIN_ARRIVAL_S = 10.0, 1.0
# Initial value and bounds of the time for which a request is expected to keep its room,
# and the weight of a new observation of it.
INITIAL_KEPT_S, MIN_KEPT_S, MAX_KEPT_S = 1.0, 0.3, 5.0
KEPT_WEIGHT = 0.2


class RoomAnswer(StrEnum):
    """Answer to a request for room."""

    GRANTED = "granted"
    WAITING = "waiting"
    REFUSED = "refused"


class Reservation:
    """Room that one request has taken or waits for.

    Parameters
    ----------
    room : RequestRoom
        Where it is taken.
    on_granted, on_refused : callable
        Called without arguments at the end of a wait. The second is also called for a
        request that arrives too slowly while others need its room.

    Attributes
    ----------
    received_bytes : int
        What has arrived of the request, counted by its connection.
    """

    def __init__(self, room, on_granted, on_refused):
        self.size_bytes = self.wanted_bytes = self.received_bytes = 0
        self.granted_s = None
        self.has_arrived = False
        self.on_granted, self.on_refused = on_granted, on_refused
        self.timer = None
        self._room = room

    def ask(self, size_bytes, may_wait=True):
        """Ask for a total size in bytes; return the `RoomAnswer`."""
        return self._room.ask(self, size_bytes, may_wait)

    def release(self):
        """Give the room back, or stop to wait for it."""
        self._room.release(self)

    def arrival_s(self, now_s):
        """Return how long the whole request takes to arrive at its rate so far."""
        passed_s = now_s - self.granted_s
        return passed_s * self.size_bytes / max(1, self.received_bytes)


class RequestRoom:
    """Divides memory among large requests, in the order in which they ask.

    A request that has been passed on to an endpoint can't be refused any more, so that
    its memory has to be there before it is read.

    Parameters
    ----------
    max_bytes : int
        Most bytes that all reservations may have.
    """

    def __init__(self, max_bytes):
        self._max_bytes = max_bytes
        self._taken_bytes = 0
        self._granted = set()
        self._waiting = deque()
        self._kept_s = INITIAL_KEPT_S

    @property
    def retry_after_s(self):
        """Time after which a refused request may expect room, in seconds."""
        return min(MAX_KEPT_S, max(MIN_KEPT_S, self._kept_s))

    def open(self, on_granted, on_refused):
        """Return a new `Reservation` without any room; see there."""
        return Reservation(self, on_granted, on_refused)

    def ask(self, reservation, size_bytes, may_wait):
        """Give a reservation room of a total size, now or later.

        Parameters
        ----------
        reservation : Reservation
            The reservation.
        size_bytes : int
            The total size; what the reservation has already counts toward it.
        may_wait : bool
            Whether the request can wait. Otherwise one that waits already stops to.

        Returns
        -------
        RoomAnswer
        """
        reservation.wanted_bytes = max(size_bytes, reservation.size_bytes)
        is_waiting = reservation in self._waiting
        if is_waiting and may_wait:
            return RoomAnswer.WAITING
        if not is_waiting and not self._waiting and self._make_fit(reservation):
            self._grant(reservation)
            return RoomAnswer.GRANTED
        if may_wait and self._may_wait(reservation):
            loop = asyncio.get_running_loop()
            reservation.timer = loop.call_later(MAX_WAIT_S, self._expire, reservation)
            self._waiting.append(reservation)
            return RoomAnswer.WAITING
        self._stop_waiting(reservation)
        return RoomAnswer.REFUSED

    def release(self, reservation):
        """Take the room of a reservation back, and give it to those that wait."""
        self._stop_waiting(reservation)
        if reservation in self._granted:
            self._granted.discard(reservation)
            self._taken_bytes -= reservation.size_bytes
            reservation.size_bytes = 0
            if reservation.has_arrived:
                kept_s = asyncio.get_running_loop().time() - reservation.granted_s
                self._kept_s += KEPT_WEIGHT * (kept_s - self._kept_s)
        self._grant_waiting()

    def _missing_bytes(self, reservation):
        """Return how many bytes there are too few for a reservation."""
        more_bytes = reservation.wanted_bytes - reservation.size_bytes
        return self._taken_bytes + more_bytes - self._max_bytes

    def _may_wait(self, reservation):
        """Return whether one more request may wait."""
        waiting_bytes = sum(other.wanted_bytes for other in self._waiting)
        most_bytes = WAITING_SHARE * self._max_bytes
        return waiting_bytes + reservation.wanted_bytes <= most_bytes

    def _make_fit(self, reservation):
        """Return whether a reservation fits, also by refusing requests that are slow.

        None is refused unless that makes enough room.
        """
        missing_bytes = self._missing_bytes(reservation)
        if missing_bytes <= 0:
            return True
        now_s = asyncio.get_running_loop().time()
        slow = [
            other
            for other in self._granted
            if other is not reservation
            and not other.has_arrived
            and now_s - other.granted_s > MIN_ARRIVAL_S
            and other.arrival_s(now_s) > MAX_ARRIVAL_S
        ]
        if sum(other.size_bytes for other in slow) < missing_bytes:
            return False
        slow.sort(key=lambda other: other.arrival_s(now_s), reverse=True)
        for other in slow:
            if self._missing_bytes(reservation) <= 0:
                break
            other.on_refused()
            other.release()
        # Those that wait longer may have got the room.
        return self._missing_bytes(reservation) <= 0

    def _grant(self, reservation):
        self._taken_bytes += reservation.wanted_bytes - reservation.size_bytes
        reservation.size_bytes = reservation.wanted_bytes
        if reservation.granted_s is None:
            reservation.granted_s = asyncio.get_running_loop().time()
        self._granted.add(reservation)

    def _grant_waiting(self):
        """Give room to those that have waited longest, as far as it goes."""
        loop = asyncio.get_running_loop()
        while self._waiting and self._missing_bytes(self._waiting[0]) <= 0:
            reservation = self._waiting[0]
            self._stop_waiting(reservation)
            self._grant(reservation)
            loop.call_soon(reservation.on_granted)

    def _stop_waiting(self, reservation):
        if reservation.timer is None:
            return
        reservation.timer.cancel()
        reservation.timer = None
        self._waiting.remove(reservation)

    def _expire(self, reservation):
        """End a wait: with the room of slow requests, or with a refusal."""
        if self._waiting[0] is reservation:
            # What they release goes to the first that waits.
            self._make_fit(reservation)
        if reservation.timer is None:
            return
        self._stop_waiting(reservation)
        reservation.on_refused()
        self._grant_waiting()
