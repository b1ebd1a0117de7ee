"""Configuration in force on this VM and how long ago it was confirmed."""

from hibiscusspar.config.model import empty_configuration

__all__ = ["ConfigurationHolder"]


class ConfigurationHolder:
    """Holder of the configuration in force; its revision never decreases.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock):
        self._clock = clock
        self._configuration = empty_configuration()
        self._confirmed_at = clock()
        self._in_force_since = clock()

    @property
    def configuration(self):
        """The :class:`~hibiscusspar.config.model.Configuration` in force."""
        return self._configuration

    @property
    def revision(self):
        """Revision in force; 0 before the first configuration."""
        return self._configuration.revision

    @property
    def age_s(self):
        """Seconds since the configuration was last confirmed as the newest."""
        return self._clock() - self._confirmed_at

    @property
    def in_force_s(self):
        """Seconds since the first configuration came into force on this VM."""
        return self._clock() - self._in_force_since

    def target_address(self, name):
        """Return the address of a target, or None if it isn't declared."""
        spec = self._configuration.targets.get(name)
        return spec.address if spec else None

    def set_age(self, age_s):
        """Record that the configuration was the newest ``age_s`` seconds ago."""
        self._confirmed_at = self._clock() - age_s

    def withdraw_keys(self, digests):
        """Withdraw keys without waiting for the next revision."""
        keys = dict(self._configuration.keys)
        for digest in keys.keys() & set(digests):
            keys[digest] = keys[digest]._replace(withdrawn=True)
        self._configuration = self._configuration._replace(keys=keys)

    def replace(self, configuration):
        """Put a configuration in force if its revision is higher.

        Returns
        -------
        bool
            Whether it was put in force.
        """
        if configuration.revision <= self.revision:
            return False
        if self.revision == 0:
            self._in_force_since = self._clock()
        self._configuration = configuration
        return True
