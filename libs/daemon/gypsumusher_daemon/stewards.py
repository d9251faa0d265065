"""The steward's duties: leases, role changes and model loads (not yet)."""

__all__ = ["Stewards"]


class Stewards:
    """Nothing yet."""

    def __init__(self, host):
        self._host = host

    async def start(self):
        """Start."""

    async def close(self):
        """Close."""

    async def release(self):
        """Release."""

    def hear(self, peer, demands):
        """Hear."""

    def rows(self):
        """Rows."""
        return []

    def confirm_dead(self, deployment, term):
        """Confirm."""
        return False
