"""Liveness of the entry hosts, from the status messages that they send.

Other datagrams of the same process show as well that a host lives. What follows from
the content of a status message or from its arrival counts from that message alone.

Callers must not be directed to a dead host: a connection to a host without power hangs
for a second before the caller tries the next one.
"""

from typing import NamedTuple

from gypsumusher_routing.membership import (
    ABSENT_FOR_S,
    Acknowledgement,
    RecordState,
)

__all__ = ["HostCounts", "HostStatus", "HostTable", "LastMessage", "host_capacity"]

# A host is not listed for callers after this many of its message periods without a
# message, and not before the minimum time, so that lost datagrams don't exclude a live
# host.
SILENT_PERIODS = 2.6
SILENT_AFTER_S = 1.5
# Silence after which a host gets no more messages. A host that hung or was cut off is
# back by then; one that returns later writes its record again. It counts for longer.
FORGET_AFTER_S = 60.0


class HostStatus(NamedTuple):
    """Status that a host reports about itself.

    Attributes
    ----------
    name : str
        Name of the host.
    started_ms : int
        Unix time of its process's start, in milliseconds.
    sequence : int
        Number of the message; grows with each message of one process.
    ip, zone, callers_address, peers_address : str
        Location and addresses of the host.
    is_ready : bool
        Whether it accepts callers.
    configuration_version : int
        Version of the configuration in force.
    endpoints_revision : int
        Revision of the endpoints that it knows.
    capacity : float
        Capacity in discrete steps; see `host_capacity`.
    sees_store : bool
        Whether the store answers it.
    store_reachable_s : float
        Time for which none of its calls to the store has failed, in seconds.
    period_s : float
        Maximum time until its next message, in seconds.
    hosts_recorded : int
        Number of hosts that it knows from their records, including itself; 0 if it
        has not read the records.
    hosts_counted : int
        Number of hosts by which it divides what all hosts share, or will once it has
        joined; 0 if unknown.
    is_member : bool
        Whether it has joined.
    store_contact_age_s : float
        Time since it sent the newest call that the store has answered, in seconds;
        infinite if there is none.
    """

    name: str
    started_ms: int
    sequence: int
    ip: str
    zone: str
    callers_address: str
    peers_address: str
    is_ready: bool
    configuration_version: int
    endpoints_revision: int
    capacity: float
    sees_store: bool
    store_reachable_s: float
    period_s: float
    hosts_recorded: int
    hosts_counted: int
    is_member: bool
    store_contact_age_s: float = 0.0


class HostCounts(NamedTuple):
    """What a host knows of the number of hosts, by source; each includes this host.

    Attributes
    ----------
    recorded : int
        Hosts known by their records or messages; 0 if the records were not read.
    reported : int
        Largest number that another host has reported; 0 if none has.
    """

    recorded: int
    reported: int


class LastMessage(NamedTuple):
    """The newest status message of another host.

    Attributes
    ----------
    ip : str
        Where it came from.
    started_ms, sequence : int
        Start of the sending process, and number of its message.
    received_s : float
        When it arrived, in seconds.
    """

    ip: str
    started_ms: int
    sequence: int
    received_s: float


def host_capacity(cores: float, link_mbps: float) -> float:
    """Return a host's capacity in discrete steps, so that similar hosts rank equally.

    Parameters
    ----------
    cores : float
        Cores that its process may use.
    link_mbps : float
        Bandwidth of its link, in Mbit/s. A request carries tens of kB in each of two
        transfers, so about ten requests a second take 5 Mbit/s.
    """
    return min(2.0, float(int(cores * 2)) / 2.0, float(int(link_mbps / 20.0)))


class HostTable:
    """Other hosts by name.

    Parameters
    ----------
    own_name : str
        Name of this host, which is not in the table.
    """

    def __init__(self, own_name: str):
        self._own_name = own_name
        self._statuses = {}
        self._last_seen_s = {}
        # Newest datagram after the last status message: start of the process, sequence
        # number and arrival.
        self._signs_of_life = {}
        self._ips = {}
        # Since when a host that counts has had no record while it was silent; None if
        # it had one, or was heard, the last time.
        self._absent_since_s = {}
        # When the revision of endpoints that a host reports last increased.
        self._revision_increased_s = {}
        self._has_read_records = False
        # Largest number of hosts that another host has reported, and when it last did.
        self._reported, self._reported_s = 0, 0.0

    def on_records_read(self) -> None:
        """Record that all host records have been read."""
        self._has_read_records = True

    def recorded_count(self) -> int:
        """Return how many hosts are known by their records, including this one.

        Returns
        -------
        int
            0 if the records have not been read.
        """
        return len(self._absent_since_s) + 1 if self._has_read_records else 0

    def existing_count(self) -> int:
        """Return how many hosts may exist, alive or not, including this one.

        Used to divide what all hosts share without asking each other. The number does
        not shrink when this host hears from fewer others, and follows lost records only
        after `ABSENT_FOR_S`.

        Returns
        -------
        int
            0 if neither this host nor any that it has heard from has read the records.
        """
        known = max(self._reported, self.recorded_count())
        return max(known, len(self._absent_since_s) + 1) if known else 0

    def acknowledgement(self, now_s: float, is_alone: bool) -> Acknowledgement:
        """Return which live hosts divide by at least as many hosts as this one.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        is_alone : bool
            Whether this host's record is the only one.
        """
        count = self.existing_count()
        reported = self.with_recent_status(now_s)
        found = [s for s in reported if s.hosts_counted >= count]
        has_member = any(status.is_member for status in found)
        return Acknowledgement(count, len(found), has_member, is_alone)

    def counts(self) -> HostCounts:
        """Return the numbers of hosts from which `existing_count` follows."""
        return HostCounts(self.recorded_count(), self._reported)

    def on_record(
        self,
        now_s: float,
        name: str,
        ip: str,
        state: RecordState = RecordState.MEMBER,
    ) -> None:
        """Record that a host exists, from its record in the store."""
        if name == self._own_name:
            return
        self._absent_since_s[name] = None
        if state is RecordState.SILENT:
            if name not in {status.name for status in self.live(now_s)}:
                self._drop(name)
            return
        self._ips[name] = ip
        # The silence of a host that never sends a message counts from its record.
        self._last_seen_s.setdefault(name, now_s)

    def on_status(self, now_s: float, status: HostStatus) -> bool:
        """Store a host's status; return whether it is newer than the stored one."""
        if status.name == self._own_name:
            return False
        known = self._statuses.get(status.name)
        if known is not None:
            is_older = (status.started_ms, status.sequence) <= (
                known.started_ms,
                known.sequence,
            )
            # If a host's clock was set back before its restart, its messages look older
            # than those of its previous process. They are accepted once that process
            # has been silent for a while.
            if is_older and now_s - self._heard_s(known) < SILENT_AFTER_S:
                return False
        if known is not None and status.endpoints_revision > known.endpoints_revision:
            self._revision_increased_s[status.name] = now_s
        self._statuses[status.name] = status
        self._last_seen_s[status.name] = now_s
        self._ips[status.name] = status.ip
        self._absent_since_s[status.name] = None
        self._update_reported(now_s, status.hosts_recorded)
        return True

    def on_sign_of_life(
        self, now_s: float, name: str, started_ms: int, sequence: int
    ) -> bool:
        """Record a datagram that a host sent between two status messages.

        A datagram of the previous process must not keep a host alive, so only the
        process that sent the last status message counts.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        name : str
            Name of the host.
        started_ms : int
            Start of the sending process.
        sequence : int
            Number of the datagram, counted together with the status messages.

        Returns
        -------
        bool
            Whether it is newer than all others of that process.
        """
        known = self._statuses.get(name)
        if known is None or started_ms != known.started_ms:
            return False
        newest = known.sequence
        sign = self._signs_of_life.get(name)
        if sign is not None and sign[0] == started_ms:
            newest = max(newest, sign[1])
        if sequence <= newest:
            return False
        self._signs_of_life[name] = (started_ms, sequence, now_s)
        return True

    def last_sequence(self, name: str) -> int | None:
        """Return the number of a host's last status message; None without one."""
        status = self._statuses.get(name)
        return None if status is None else status.sequence

    def _heard_s(self, status):
        """Return when a host's process sent its last datagram, in seconds."""
        heard_s = self._last_seen_s[status.name]
        sign = self._signs_of_life.get(status.name)
        if sign is not None and sign[0] == status.started_ms:
            heard_s = max(heard_s, sign[2])
        return heard_s

    def _update_reported(self, now_s, count):
        """Update the largest reported number; a smaller one replaces it only later.

        The host that reported it may have restarted and know less now.
        """
        if count < self._reported and now_s - self._reported_s <= ABSENT_FOR_S:
            return
        if count < self._reported:
            count = max(status.hosts_recorded for status in self._statuses.values())
        self._reported, self._reported_s = count, now_s

    def drop_silent(self, now_s: float, listening_since_s: float) -> list[str]:
        """Send no more to hosts that have been silent for long; return their names.

        They still count. Otherwise hosts that were replaced stay known for ever. Each
        costs a message a second from every other host, and the list of hosts for
        callers grows with unreachable addresses.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        listening_since_s : float
            Time from which other hosts send to this one, in seconds; silence before
            it does not count.
        """
        dropped = []
        for name, seen_s in list(self._last_seen_s.items()):
            if name in self._statuses:
                seen_s = self._heard_s(self._statuses[name])
            if now_s - max(seen_s, listening_since_s) > FORGET_AFTER_S:
                self._drop(name)
                dropped.append(name)
        return dropped

    def drop_unrecorded(self, now_s: float, recorded) -> list[str]:
        """Send no more to silent hosts without a record; return their names.

        A live host without one has just written its record, or is about to write it
        again. A silent one counts until `ABSENT_FOR_S` has passed: its record may have
        been lost, and it may still use its part of what all hosts share.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        recorded : collection of str
            Names of the hosts that have a record.
        """
        live = {status.name for status in self.live(now_s)}
        known = live | set(recorded)
        dropped = [name for name in self._ips if name not in known]
        for name in dropped:
            self._drop(name)
        for name, since_s in list(self._absent_since_s.items()):
            if name in known:
                self._absent_since_s[name] = None
            elif since_s is None:
                self._absent_since_s[name] = now_s
            elif now_s - since_s > ABSENT_FOR_S:
                del self._absent_since_s[name]
        return dropped

    def _drop(self, name):
        """Remove a host from the tables of those that get messages."""
        for table in (
            self._last_seen_s,
            self._signs_of_life,
            self._statuses,
            self._ips,
            self._revision_increased_s,
        ):
            table.pop(name, None)

    def addresses(self) -> dict[str, str]:
        """Return the IP of each host that gets messages, by name."""
        return dict(self._ips)

    def live(self, now_s: float) -> list[HostStatus]:
        """Return the statuses of hosts that have sent any datagram recently."""
        found = []
        for status in self._statuses.values():
            if now_s - self._heard_s(status) <= _silent_after_s(status):
                found.append(status)
        return found

    def with_recent_status(self, now_s: float) -> list[HostStatus]:
        """Return the statuses of hosts that have sent a status message recently."""
        found = []
        for name, status in self._statuses.items():
            if now_s - self._last_seen_s[name] <= _silent_after_s(status):
                found.append(status)
        return found

    def unheard(self, now_s: float) -> set[str]:
        """Return the names of hosts that may exist and have sent no recent status."""
        heard = {status.name for status in self.with_recent_status(now_s)}
        return set(self._absent_since_s) - heard

    def last_messages(self, now_s: float) -> dict[str, LastMessage]:
        """Return the newest status message of each host that sent one recently."""
        return {
            status.name: LastMessage(
                status.ip,
                status.started_ms,
                status.sequence,
                self._last_seen_s[status.name],
            )
            for status in self.with_recent_status(now_s)
        }

    def peer_sees_store(self, now_s: float, max_age_s: float) -> bool:
        """Return whether the store has answered another host a short while ago.

        A host that has lost the store without a reset goes on to report that it sees
        it, until a call has timed out; the age of its last contact grows all the while.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        max_age_s : float
            Greatest age of the last contact, in seconds.
        """
        for status in self.with_recent_status(now_s):
            silent_s = now_s - self._last_seen_s[status.name]
            if status.sees_store and status.store_contact_age_s + silent_s <= max_age_s:
                return True
        return False

    def peer_saw_store_since(self, now_s: float, since_s: float) -> bool:
        """Return whether the store has answered another host ever since a time.

        A host whose call hangs reports the store as reachable until the call fails. So
        the revision that the host reports must have increased since then as well.
        """
        for status in self.with_recent_status(now_s):
            if not status.sees_store:
                continue
            if self._last_seen_s[status.name] - status.store_reachable_s > since_s:
                continue
            if self._revision_increased_s.get(status.name, float("-inf")) > since_s:
                return True
        return False

    def newest_versions(self, now_s: float) -> tuple[int, int]:
        """Return the newest versions that any live host knows.

        Returns
        -------
        tuple of int
            Version of the configuration, and revision of the endpoints.
        """
        versions, revisions = [0], [0]
        for status in self.live(now_s):
            versions.append(status.configuration_version)
            revisions.append(status.endpoints_revision)
        return max(versions), max(revisions)

    def hosts_ahead(
        self, now_s: float, version: int, revision: int
    ) -> list[HostStatus]:
        """Return the live hosts with a newer configuration or newer endpoints."""
        found = []
        for status in self.live(now_s):
            if (
                status.configuration_version > version
                or status.endpoints_revision > revision
            ):
                found.append(status)
        return found


def _silent_after_s(status):
    """Return after how much silence, in seconds, a host counts as silent."""
    return max(SILENT_AFTER_S, SILENT_PERIODS * status.period_s)
