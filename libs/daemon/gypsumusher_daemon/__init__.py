"""The gypsumusherd entry host daemon."""

__all__: list[str] = []
