"""Endpoints known to a host, from the lists and changes of the store or of peers.

Four faults are handled here. A store that was unavailable may lose the entries of live
endpoints; they return within seconds, so a missing endpoint is kept for that long. A
restarted endpoint returns under the same id; its counts start anew. A delayed write may
restore an older entry, in which a draining endpoint is still ready. An endpoint that
drains may be unable to write that into the store, and says so in its responses only.
"""

from weakref import WeakValueDictionary

from gypsumusher_ports import EndpointRecord
from gypsumusher_routing.endpoint_state import DEFAULT_KV_TOKENS, EndpointState
from gypsumusher_routing.send_counter import DeliveryRecord
from gypsumusher_routing.software_versions import VersionPresence

__all__ = ["EndpointTable"]

# Time after the store's return within which endpoints restore entries that expired
# meanwhile: the platform promises two seconds, plus a margin. An endpoint that is still
# missing then is gone.
RETURN_GRACE_S = 2.2
# Maximum number of ids of removed endpoints kept for peers. Endpoints come and go for
# days without a full list; a peer whose revision is older gets the full list.
REMOVED_MAX = 1000
# Maximum number of incarnations that are remembered as draining.
DRAINING_MAX = 2000


class EndpointTable:
    """Endpoints by id, each with its state.

    Parameters
    ----------
    shares_speeds : bool
        Whether engines' speeds are estimated from the observations of all hosts.
    """

    def __init__(self, shares_speeds: bool = True):
        self.states = {}
        self._shares_speeds = shares_speeds
        self.versions = VersionPresence()
        self.revision = 0
        # Number of updates that changed more than heartbeats.
        self.change_count = 0
        self._partial_revision = 0
        self._missing_since_s = {}
        self._grace_until_s = 0.0
        self._kv_tokens = {}
        self._endpoints_by_peer = {}
        # Incarnations and addresses that drain, the oldest first. They are remembered
        # without an entry too, since an entry that lapsed may return as a ready one.
        self._draining = {}
        # By incarnation and address, for as long as sends may be under way there.
        self._deliveries = WeakValueDictionary()
        # Revision of each change after a base revision, for peers. The base is that of
        # the last full list, or later once removed ids were forgotten.
        self._base_revision = None
        self._changed_at = {}
        self._removed_at = {}

    @property
    def newest_received_revision(self) -> int:
        """Revision of the newest list or change, including partial lists."""
        return max(self.revision, self._partial_revision)

    def set_cache_capacity(self, kv_tokens_by_service) -> None:
        """Set the KV memory of each service's engines, in tokens."""
        self._kv_tokens = dict(kv_tokens_by_service)

    def on_store_returned(self, now_s: float) -> None:
        """Start the grace period when the store answers again after an outage."""
        self._grace_until_s = now_s + RETURN_GRACE_S

    def end_grace_period(self) -> None:
        """End the grace period: the store was not down, so missing entries are gone."""
        self._grace_until_s = 0.0

    def is_in_grace_period(self, now_s: float) -> bool:
        """Return whether missing entries may still return."""
        return now_s < self._grace_until_s

    def listed_records(self) -> list[EndpointRecord]:
        """Return the entries of all endpoints that are not missing, for peers.

        An endpoint that is only kept because its entry may return is left out. A peer
        that has dropped it already would add it again and send it requests after it
        has left.
        """
        return [
            state.record
            for endpoint_id, state in self.states.items()
            if endpoint_id not in self._missing_since_s
        ]

    def changes_since(self, revision: int):
        """Return the changes after a revision, for a peer that knows that revision.

        An endpoint that came and went between two full lists is in neither of them, and
        a peer that knew it would keep it for ever. So a peer gets changes only if it
        knows the last full list.

        Returns
        -------
        (list of EndpointRecord, list of str) or None
            New or changed entries, and the ids of removed ones; None if the peer needs
            the full list.
        """
        if self._base_revision is None or revision < self._base_revision:
            return None
        changed = [
            self.states[endpoint_id].record
            for endpoint_id, changed_at in self._changed_at.items()
            if changed_at > revision
        ]
        removed = [
            endpoint_id
            for endpoint_id, removed_at in self._removed_at.items()
            if removed_at > revision
        ]
        return changed, removed

    def on_full_list(self, now_s: float, records, revision: int) -> list[str]:
        """Apply a full list; return the ids that are new, changed or missing.

        A list older than the table is ignored, as it would restore endpoints that have
        left.
        """
        if revision < self.revision:
            return []
        self.revision = self._base_revision = revision
        self._changed_at.clear()
        self._removed_at.clear()
        changed = []
        listed_ids = set()
        for record in records:
            listed_ids.add(record.endpoint_id)
            if self._apply(record):
                changed.append(record.endpoint_id)
        for endpoint_id in list(self.states):
            if endpoint_id in listed_ids:
                continue
            if endpoint_id not in self._missing_since_s:
                changed.append(endpoint_id)
            self._mark_missing(now_s, endpoint_id)
        self.change_count += bool(changed)
        return changed

    def on_partial_list(self, records, revision: int) -> list[str]:
        """Apply a list that may lack endpoints; return the ids that changed.

        The table keeps its revision, so that the full list of the same revision is
        still applied when it arrives.
        """
        if revision < self.revision:
            return []
        self._partial_revision = revision
        return [record.endpoint_id for record in records if self._apply(record)]

    def on_changes(self, now_s: float, records, removed, revision: int) -> list[str]:
        """Apply a peer's changes after this table's revision; return their ids.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        records : iterable of EndpointRecord
            New or changed entries.
        removed : iterable of str
            Ids of removed entries.
        revision : int
            Revision of the newest change.
        """
        if revision < self.revision:
            return []
        changed = [
            record.endpoint_id for record in records if self.on_record(record, revision)
        ]
        for endpoint_id in removed:
            self.on_deleted(now_s, endpoint_id, revision)
        self.revision = revision
        return changed + list(removed)

    def on_record(self, record: EndpointRecord, revision: int) -> bool:
        """Apply one entry; return whether it changed anything but the heartbeat."""
        self.revision = max(self.revision, revision)
        is_changed = self._apply(record)
        if is_changed or record.endpoint_id in self._removed_at:
            self._removed_at.pop(record.endpoint_id, None)
            self._changed_at[record.endpoint_id] = revision
            self.change_count += 1
        return is_changed

    def on_deleted(self, now_s: float, endpoint_id: str, revision: int) -> None:
        """Apply the removal of an entry."""
        self.revision = max(self.revision, revision)
        self._changed_at.pop(endpoint_id, None)
        self._removed_at.pop(endpoint_id, None)
        self._removed_at[endpoint_id] = revision
        self.change_count += 1
        if len(self._removed_at) > REMOVED_MAX:
            forgotten_at = self._removed_at.pop(next(iter(self._removed_at)))
            if self._base_revision is not None:
                self._base_revision = max(self._base_revision, forgotten_at)
        if endpoint_id in self.states:
            self._mark_missing(now_s, endpoint_id)

    def on_peer_loads(self, now_s: float, peer: str, loads) -> None:
        """Replace the loads and penalties that a peer reports.

        Hundreds of hosts send these many times a second, so the cost grows with the
        number of endpoints in the message, not with that of all endpoints.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        peer : str
            Name of the peer.
        loads : dict of str to (Load, float)
            Load and penalty by endpoint id; endpoints that are not in it have neither.
        """
        for endpoint_id in self._endpoints_by_peer.get(peer, ()):
            state = self.states.get(endpoint_id)
            if state is not None and endpoint_id not in loads:
                state.drop_peer(peer)
        for endpoint_id, (load, penalty) in loads.items():
            state = self.states.get(endpoint_id)
            if state is not None:
                state.on_peer_load(now_s, peer, load)
                state.health.on_peer_penalty(now_s, peer, penalty)
        self._endpoints_by_peer[peer] = tuple(loads)

    def on_peer_load_changes(self, now_s: float, peer: str, loads) -> None:
        """Replace some of the loads and penalties that a peer reports.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        peer : str
            Name of the peer.
        loads : dict of (int or str) to (Load, float)
            Load and penalty of each endpoint that has changed, by its position in the
            last call of `on_peer_loads`, or by its id; both are zero where the peer has
            nothing any more. Other endpoints are as reported before.
        """
        # The endpoints of the last call of `on_peer_loads` remain the first ones.
        reported = dict.fromkeys(self._endpoints_by_peer.get(peer, ()))
        ids = list(reported)
        for key, (load, penalty) in loads.items():
            if isinstance(key, int):
                if not 0 <= key < len(ids):
                    continue
                key = ids[key]
            endpoint_id = key
            reported[endpoint_id] = None
            state = self.states.get(endpoint_id)
            if state is None:
                continue
            if not load.running and not penalty:
                state.drop_peer(peer)
                continue
            state.on_peer_load(now_s, peer, load)
            state.health.on_peer_penalty(now_s, peer, penalty)
        self._endpoints_by_peer[peer] = tuple(reported)

    def on_draining(self, incarnation, address: str) -> bool:
        """Record that an endpoint drains, as it says itself; return whether it is new.

        Parameters
        ----------
        incarnation : tuple of (str, int)
            Id and start time of the endpoint.
        address : str
            ``ip:port`` of the endpoint.
        """
        if (incarnation, address) in self._draining:
            return False
        self._remember_draining((incarnation, address))
        state = self.states.get(incarnation[0])
        if state is not None and state.record.process_key == (incarnation, address):
            state.on_record(state.record._replace(is_draining=True))
            self.change_count += 1
        return True

    def on_wrong_endpoint(self, endpoint_id: str) -> None:
        """Record that another endpoint answers at the address of this one."""
        state = self.states.get(endpoint_id)
        if state is not None:
            state.is_address_taken = True

    def drop_missing(self, now_s: float) -> list[str]:
        """Drop missing endpoints after the grace period; return their ids."""
        dropped = []
        for endpoint_id, since_s in list(self._missing_since_s.items()):
            if now_s < max(self._grace_until_s, since_s):
                continue
            del self._missing_since_s[endpoint_id]
            state = self.states.pop(endpoint_id, None)
            if state is not None:
                state.is_gone = True
                state.delivery.is_listed = False
                self.versions.remove(state.record)
            dropped.append(endpoint_id)
        return dropped

    def of_service(self, service: str) -> list[EndpointState]:
        """Return the endpoints of a service that may get new requests."""
        found = []
        for state in self.states.values():
            if state.record.service == service and state.is_usable:
                found.append(state)
        return found

    def is_current(self, state: EndpointState) -> bool:
        """Return whether a state is still that of an endpoint that may get requests.

        Checked again just before a send, because the endpoint may have begun to drain
        or have restarted since it was chosen.
        """
        return self.states.get(state.record.endpoint_id) is state and state.is_usable

    def _apply(self, record):
        """Apply one entry; return whether it changed anything but the heartbeat."""
        # An incarnation that has begun to drain never becomes ready again.
        if record.is_draining:
            self._remember_draining(record.process_key)
        elif record.process_key in self._draining:
            record = record._replace(is_draining=True)
        self._missing_since_s.pop(record.endpoint_id, None)
        state = self.states.get(record.endpoint_id)
        if state is None or state.record.process_key != record.process_key:
            if state is not None:
                state.is_gone = True
                state.delivery.has_ended = True
                self.versions.remove(state.record)
            self.versions.add(record)
            kv_tokens = self._kv_tokens.get(record.service, DEFAULT_KV_TOKENS)
            self.states[record.endpoint_id] = EndpointState(
                record, kv_tokens, self._delivery_to(record), self._shares_speeds
            )
            return True
        known = state.record
        if record.heartbeat_count < known.heartbeat_count:
            return False
        if (record.service, record.software_version) != (
            known.service,
            known.software_version,
        ):
            self.versions.remove(known)
            self.versions.add(record)
        state.on_record(record)
        return record != known._replace(heartbeat_count=record.heartbeat_count)

    def _delivery_to(self, record):
        """Return the delivery record of an incarnation, also after its entry lapsed."""
        key = record.process_key
        delivery = self._deliveries.get(key)
        if delivery is None:
            delivery = self._deliveries[key] = DeliveryRecord()
        delivery.is_listed = True
        return delivery

    def _remember_draining(self, key):
        """Remember that an incarnation drains, and forget the oldest of too many."""
        # Each entry that says so makes it the newest again.
        self._draining.pop(key, None)
        self._draining[key] = None
        if len(self._draining) > DRAINING_MAX:
            del self._draining[next(iter(self._draining))]

    def _mark_missing(self, now_s, endpoint_id):
        """Mark an endpoint as missing, and drop it unless a grace period runs."""
        self._missing_since_s.setdefault(endpoint_id, now_s)
        self.drop_missing(now_s)
