"""Which parts of prompts an engine is believed to keep."""

from collections import OrderedDict

__all__ = ["PrefixCacheEstimate"]

# Share of an engine's memory that is counted on for kept parts: what runs needs memory
# too, and an engine gives up the least recently used parts for it.
KEPT_SHARE = 0.8


class PrefixCacheEstimate:
    """Estimate of one engine's cache from what has been sent there.

    Parameters
    ----------
    limit_tokens : float
        Tokens that the engine's memory holds.

    Notes
    -----
    Engines publish their cache late and with gaps, and asking costs them work. What a
    host sends itself it knows at once; the least recently used parts leave first, as
    at the engine.
    """

    def __init__(self, limit_tokens: float):
        self._limit_tokens = limit_tokens * KEPT_SHARE
        self._kept = OrderedDict()
        self._coming_s = {}
        self._tokens = 0

    def __len__(self):
        return len(self._kept)

    def add_parts(self, parts) -> None:
        """Note that the engine has read, or got, the parts of a prompt."""
        self.add_chain([part.part_id, part.tokens] for part in parts)

    def add_chain(self, chain) -> None:
        """Note parts given as pairs of id and tokens, in their order."""
        for key, tokens in chain:
            if key in self._kept:
                self._kept.move_to_end(key)
                continue
            self._kept[key] = tokens
            self._tokens += tokens
        while self._tokens > self._limit_tokens and self._kept:
            _, tokens = self._kept.popitem(last=False)
            self._tokens -= tokens

    def add_pending(self, chain, until_s: float) -> None:
        """Note parts that the engine is reading now, and until when that may take.

        A second prompt with the same parts finds them there when its turn comes, if it
        is sent to the same engine; elsewhere they would be read a second time.
        """
        for key, _ in chain:
            self._coming_s[key] = max(until_s, self._coming_s.get(key, 0.0))

    def drop_expired(self, now_s: float) -> None:
        """Forget the parts that should have come by now."""
        self._coming_s = {
            key: until_s for key, until_s in self._coming_s.items() if until_s > now_s
        }

    def cached_tokens(self, parts, coming_after_s=None) -> int:
        """Return how many tokens at the start of a prompt the engine keeps.

        A part is of use only if all parts before it are kept too.

        Parameters
        ----------
        parts : sequence of PromptPart
            The prompt's parts.
        coming_after_s : float or None
            The present time, when parts that are being read count too.
        """
        tokens = 0
        for part in parts:
            if part.part_id not in self._kept:
                if coming_after_s is None:
                    break
                if self._coming_s.get(part.part_id, 0.0) <= coming_after_s:
                    break
            tokens += part.tokens
        return tokens
