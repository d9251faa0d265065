"""A request from its admission to its end, as its host keeps it."""

from gypsumusher_policy.queueing import lane_of


class Flight:
    """A request from its admission to its end."""

    def __init__(self, request, rank, work, output_tokens, high_output_tokens):
        self.request = request
        self.rank = rank
        self.work = work
        self.lane = lane_of(rank, work)
        self.output_tokens = output_tokens
        self.high_output_tokens = high_output_tokens
        self.attempt = 1
        self.tried = set()
        self.state = None
        self.stage = ""
        self.prompt_tokens = 0
        self.started_s = None
        self.first_token_s = None
        self.waits_decode = False
        self.cache_holder = None
        self.promised = False
        self.ran = "no"

    def kv_tokens(self):
        """Return the KV cache that it needs, in tokens."""
        return self.request.prompt_tokens + int(self.output_tokens)
