"""The gypsumusher command-line tool."""

__all__: list[str] = []
