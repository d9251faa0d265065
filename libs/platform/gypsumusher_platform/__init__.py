"""Client of the platform's object API."""

__all__: list[str] = []
