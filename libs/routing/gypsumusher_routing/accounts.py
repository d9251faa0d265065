"""Client accounts: which one a request belongs to, and whether its key is in force."""

from typing import NamedTuple

from gypsumusher_ports import ClientAccount, Configuration, Refusal, Route

__all__ = ["Access", "AccountTable", "check_access"]

# ``Retry-After`` while the age of the configuration can't be shown: by then it is
# usually confirmed again, and another host may confirm its own at once.
UNCONFIRMED_RETRY_AFTER_S = 0.5


class Access(NamedTuple):
    """Whether a request may run, and for which account.

    Attributes
    ----------
    account : ClientAccount or None
        Account of the request's key; None if the request needs none or is refused.
    refusal : Refusal or None
        The final response; None if the request may run.
    """

    account: ClientAccount | None
    refusal: Refusal | None


class AccountTable:
    """Accounts of one configuration by key.

    Parameters
    ----------
    configuration : Configuration
        The configuration.
    """

    def __init__(self, configuration: Configuration):
        self._by_key = {}
        self.has_accounts = configuration.accounts is not None
        self.count = len(configuration.accounts or ())
        for account in configuration.accounts or ():
            for key in account.keys:
                self._by_key[key] = account

    def find(self, key: str | None) -> ClientAccount | None:
        """Return the account that a key belongs to, or None."""
        return self._by_key.get(key)


def check_access(
    accounts: AccountTable,
    route: Route,
    key: str | None,
    is_confirmed: bool,
    is_recent: bool,
) -> Access:
    """Return whether a request with this key may run.

    Parameters
    ----------
    accounts : AccountTable
        Accounts of the configuration in force.
    route : Route
        The request's route.
    key : str or None
        Key that the caller sent.
    is_confirmed : bool
        Whether the configuration is young enough for its keys to be in force. It must
        have been determined after the request was read.
    is_recent : bool
        Whether the configuration is so young that a key it lacks can't be in force.
    """
    if not accounts.has_accounts or not route.requires_key:
        return Access(None, None)
    if not is_confirmed:
        refusal = Refusal(503, "keys_unconfirmed", UNCONFIRMED_RETRY_AFTER_S)
        return Access(None, refusal)
    account = accounts.find(key)
    if account is not None:
        return Access(account, None)
    if not is_recent:
        # A newer configuration may have added the key.
        return Access(None, Refusal(503, "key_unsure", UNCONFIRMED_RETRY_AFTER_S))
    return Access(None, Refusal(401, "unknown_key", None))
