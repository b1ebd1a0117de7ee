"""Systems of one node and the application of configurations to them."""

from typing import NamedTuple

from hibiscusspar.config.model import TargetSpec
from hibiscusspar.limits.keys import still_valid
from hibiscusspar.limits.system import LimitSystem, home_role_names
from hibiscusspar.membership.members import MemberSystem
from hibiscusspar.membership.roles import RoleSystem
from hibiscusspar.placement.system import PlacementSystem, role_names
from hibiscusspar.ports import target_owner_role
from hibiscusspar.requests.system import RequestSystem
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.events import CONFIGURATION_APPLIED, REQUEST_REVOKED

__all__ = ["ConfigurationApplier", "Systems"]


class Systems(NamedTuple):
    """Systems of one node, in the order of their ticks."""

    members: MemberSystem
    roles: RoleSystem
    limits: LimitSystem
    placement: PlacementSystem
    requests: RequestSystem


class ConfigurationApplier:
    """Applier of configurations to all systems of a node.

    Parameters
    ----------
    zone : str
        Zone of this VM.
    config_holder : ConfigurationHolder
    systems : Systems
    scheduler : Scheduler
    open_requests : OpenRequests
    driver : Driver
    """

    def __init__(self, zone, config_holder, systems, scheduler, open_requests, driver):
        self._zone = zone
        self._config_holder = config_holder
        self._systems = systems
        self._scheduler = scheduler
        self._open_requests = open_requests
        self._driver = driver

    def apply(self, configuration, root_name):
        """Put a configuration in force if its revision is higher.

        Parameters
        ----------
        configuration : Configuration
        root_name : str
            Name of its root value, sent to peers with the revision.

        Returns
        -------
        bool
            Whether it was put in force.
        """
        with self._driver.locked_systems() as (now, out):
            if not self._config_holder.replace(configuration):
                return False
            self._configure(now, configuration, root_name, out)
        self._revoke(configuration)
        fields = {"revision": configuration.revision}
        write_records([(CONFIGURATION_APPLIED, fields)])
        return True

    def withdraw_keys(self, digests):
        """Withdraw keys before the revision that withdraws them is in force."""
        with self._driver.locked_systems():
            self._config_holder.withdraw_keys(digests)
        self._revoke(self._config_holder.configuration)

    def _configure(self, now, configuration, root_name, out):
        systems = self._systems
        homes = home_role_names(configuration, self._zone)
        owners = role_names(configuration, self._zone)
        systems.roles.require(homes + owners, _fenced_roles(configuration.targets))
        systems.limits.configure(now, configuration, out)
        systems.placement.configure(now, configuration, out)
        systems.members.set_revision(configuration.revision, root_name)
        self._scheduler.configure(configuration)

    def _revoke(self, configuration):
        def is_valid(digest, account):
            return still_valid(configuration, digest, account)

        for open_request in self._open_requests.revoke(is_valid):
            fields = {
                "request": open_request.request_id,
                "account": open_request.admitted.account,
            }
            write_records([(REQUEST_REVOKED, fields)])


def _fenced_roles(targets: dict[str, TargetSpec]):
    return [
        target_owner_role(spec.name) for spec in targets.values() if spec.checks_fencing
    ]
