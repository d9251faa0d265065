"""Estimate of the prompt prefixes that an engine holds in its KV cache."""

from collections import OrderedDict

__all__ = ["PrefixCacheEstimate"]

# Share of an engine's KV memory that is assumed to hold cached prefixes: running
# requests need memory too, and the engine evicts the least recently used prefixes.
CACHE_SHARE = 0.8
# Tokens that a part counts at least. Callers choose the size of parts, and many small
# ones would take far more memory here than at the engine.
MIN_PART_TOKENS = 64


class PrefixCacheEstimate:
    """Estimated content of one engine's prefix cache.

    Parameters
    ----------
    limit_tokens : float
        Number of tokens that fit into the engine's KV memory.

    Notes
    -----
    The estimate is derived from the prompts that were sent to the engine. Engines
    publish the content of their caches late and with gaps, and querying them costs
    them work. The least recently used parts are evicted first, as at the engine.
    """

    def __init__(self, limit_tokens: float):
        self._limit_tokens = limit_tokens * CACHE_SHARE
        self._tokens_by_part = OrderedDict()
        self._pending_until_s = {}
        self._tokens = 0

    def __len__(self):
        return len(self._tokens_by_part)

    def add_parts(self, parts) -> None:
        """Record that the engine has prefilled or fetched the parts of a prompt."""
        self.add_chain([part.part_id, part.tokens] for part in parts)

    def add_chain(self, chain) -> None:
        """Record parts given as pairs of id and tokens, in prompt order."""
        for part_id, tokens in chain:
            if part_id in self._tokens_by_part:
                self._tokens_by_part.move_to_end(part_id)
                continue
            counted_tokens = max(MIN_PART_TOKENS, tokens)
            self._tokens_by_part[part_id] = counted_tokens
            self._tokens += counted_tokens
        while self._tokens > self._limit_tokens and self._tokens_by_part:
            _, tokens = self._tokens_by_part.popitem(last=False)
            self._tokens -= tokens

    def add_pending(self, chain, until_s: float) -> None:
        """Record parts that the engine is prefilling, and when they are due.

        A second prompt with the same parts finds them cached when its turn comes, if
        it is sent to the same engine. Any other engine would prefill them again.
        """
        for part_id, _ in chain:
            self._pending_until_s[part_id] = max(
                until_s, self._pending_until_s.get(part_id, 0.0)
            )

    def drop_expired(self, now_s: float) -> None:
        """Drop pending parts that should have been prefilled by now."""
        if not self._pending_until_s:
            return
        self._pending_until_s = {
            part_id: until_s
            for part_id, until_s in self._pending_until_s.items()
            if until_s > now_s
        }

    def cached_tokens(self, parts, pending_after_s=None) -> int:
        """Return how many tokens at the start of a prompt are cached.

        A cached part can be reused only if all parts before it are cached too.

        Parameters
        ----------
        parts : sequence of PromptPart
            The parts of the prompt.
        pending_after_s : float or None
            Current time in seconds, to count parts that are being prefilled as
            cached; None to leave them out.
        """
        tokens = 0
        for part in parts:
            if part.part_id not in self._tokens_by_part:
                if pending_after_s is None:
                    break
                if self._pending_until_s.get(part.part_id, 0.0) <= pending_after_s:
                    break
            tokens += part.tokens
        return tokens
