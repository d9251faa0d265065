"""Claim of a caller's own idempotency key by one conditional create on the platform.

Notes
-----
A key that the caller chose doesn't encode an owner, and two hosts may be asked to run
it at once. The platform decides: the first create wins, and the created object names
the owner, the one host incarnation that may run the key. This costs one write per
request. Requiring a minted key would cost less but would exclude callers whose keys
come from their own records ("booking-123").

The owner runs the key at most once by its in-memory key table. Once the owner is gone
the outcome is unknown, because the claim only shows that the request may have been
sent.
"""

from gypsumusher_coordination.effects import (
    CallFailed,
    ClaimGranted,
    ClaimOwnedElsewhere,
    ClaimRefused,
    ReadDone,
    ReadObject,
    WriteConflict,
    WriteDone,
    WriteObject,
)
from gypsumusher_coordination.keys import claim_name

CLAIM_KIND = "claims"
# Value of ``home`` and ``fingerprint`` in the claim of a key that no host may run.
WITHDRAWN = "withdrawn"

# The caller waits during the claim. After the timeout it is told that the outcome is
# unknown and when to retry with its key.
RETRY_DELAY_S = 0.1
CLAIM_TIMEOUT_S = 2.0


class CallerKeyClaim:
    """One attempt of one host to become the owner of a caller's key.

    Parameters
    ----------
    key : str
        The caller's key.
    incarnation : str
        The owner if this claim wins, or `WITHDRAWN` so that no host may run the key.
    fingerprint : str
        Digest of the request's content.
    nonce : str
        Random id of this attempt, by which it recognises its own write.
    timeout_s : float, optional
        Time in seconds after which an undecided attempt is refused.
    """

    def __init__(self, key, incarnation, fingerprint, nonce, timeout_s=CLAIM_TIMEOUT_S):
        self.key = key
        self._incarnation = incarnation
        self._fingerprint = fingerprint
        self._nonce = nonce
        self._timeout_s = timeout_s
        self._deadline_s = None
        self._retry_at_s = None
        self._must_read = False
        self._is_done = False
        self._call_tag = None
        self._calls = 0

    @property
    def is_done(self):
        """Whether the attempt has been granted or refused."""
        return self._is_done

    def start(self, now_s):
        """Start the attempt with the conditional create.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.

        Returns
        -------
        list
            Effects. The last effect of an attempt, from `start`, `tick` or `handle`,
            is `ClaimGranted`, `ClaimOwnedElsewhere` or `ClaimRefused`.
        """
        if self._deadline_s is not None:
            return []
        self._deadline_s = now_s + self._timeout_s
        return [self._create()]

    def tick(self, now_s):
        """Repeat a failed call when due; refuse the claim after the timeout.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.

        Returns
        -------
        list
            Effects.
        """
        if self._is_done or self._deadline_s is None:
            return []
        if now_s >= self._deadline_s:
            # Refused as "unknown", not "no": the request may have run through another
            # host before the caller repeated its key here, and the claim object can't
            # be read now. Only for a minted key can its owner tell that no host ran
            # it. A create in flight may still take effect, but a finished attempt
            # never grants the key.
            return self._end(ClaimRefused(self.key, "journal_unavailable", "unknown"))
        if self._retry_at_s is None or now_s < self._retry_at_s:
            return []
        self._retry_at_s = None
        if self._must_read:
            return [ReadObject(self._next_tag(), CLAIM_KIND, claim_name(self.key))]
        return [self._create()]

    def handle(self, now_s, event):
        """Handle the response to a call.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.
        event : ReadDone, WriteDone, WriteConflict or CallFailed
            The response. Events of any call but the one in flight are ignored.

        Returns
        -------
        list
            Effects.
        """
        if self._is_done or event.tag != self._call_tag:
            return []
        self._call_tag = None
        if isinstance(event, CallFailed):
            # A create whose response was lost may have made this host the owner, so
            # the object is read before the attempt ends.
            self._must_read = self._must_read or event.sent
            self._retry_at_s = now_s + RETRY_DELAY_S
            return []
        if isinstance(event, WriteDone):
            return self._end(ClaimGranted(self.key))
        if not isinstance(event, (ReadDone, WriteConflict)):
            raise TypeError(f"event: not a response to a call of a claim: {event!r}")
        self._must_read = False
        if event.stored is None:
            # The lost create has not taken effect. A second create either wins or
            # conflicts with it. The delay keeps the calls rare when the platform
            # reports a conflict without an object.
            self._retry_at_s = now_s + RETRY_DELAY_S
            return []
        return self._end(self._decide(event.stored.value))

    def _decide(self, value):
        # After a lost response the nonce distinguishes this attempt's write from that
        # of another host, and from that of an earlier attempt of this host, which may
        # have sent the request already.
        if value["nonce"] == self._nonce:
            return ClaimGranted(self.key)
        if WITHDRAWN in (self._incarnation, value["home"]):
            return ClaimOwnedElsewhere(self.key, value["home"])
        if value["fingerprint"] != self._fingerprint:
            return ClaimRefused(self.key, "key_reused", "no")
        return ClaimOwnedElsewhere(self.key, value["home"])

    def _create(self):
        value = {
            "home": self._incarnation,
            "fingerprint": self._fingerprint,
            "nonce": self._nonce,
        }
        # Version zero makes the second of two concurrent creates conflict, and the
        # conflict tells its host who the owner is.
        name = claim_name(self.key)
        return WriteObject(self._next_tag(), CLAIM_KIND, name, value, 0)

    def _end(self, effect):
        self._is_done = True
        return [effect]

    def _next_tag(self):
        self._calls += 1
        self._call_tag = f"claim.{self._nonce}.{self._calls}"
        return self._call_tag
