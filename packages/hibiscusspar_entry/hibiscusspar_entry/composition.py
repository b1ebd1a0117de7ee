"""Composition root: creates and connects the parts of one entry process."""

import random
import secrets
from time import CLOCK_BOOTTIME, clock_gettime

from hibiscusspar.limits.messages import MESSAGES as LIMIT_MESSAGES
from hibiscusspar.limits.system import LimitSystem
from hibiscusspar.membership.members import MemberSystem
from hibiscusspar.membership.messages import Gossip, RoleRows, RoleVersions, VmRows
from hibiscusspar.membership.roles import RoleSystem
from hibiscusspar.placement.messages import MESSAGES as PLACEMENT_MESSAGES
from hibiscusspar.placement.system import PlacementSystem
from hibiscusspar.requests.messages import MESSAGES as REQUEST_MESSAGES
from hibiscusspar.requests.system import RequestSystem
from hibiscusspar.scheduling.scheduler import Scheduler
from hibiscusspar_entry.configuration import ConfigurationHolder
from hibiscusspar_entry.dispatch import DispatchHooks
from hibiscusspar_entry.driver import Driver
from hibiscusspar_entry.gateway import RequestGateway
from hibiscusspar_entry.metrics import Metrics
from hibiscusspar_entry.node import Node, Parts, Servers
from hibiscusspar_entry.open_requests import OpenRequests
from hibiscusspar_entry.runners import OrderRunner, PlatformRunner
from hibiscusspar_entry.systems import ConfigurationApplier, Systems
from hibiscusspar_entry.target_control import TargetControl
from hibiscusspar_entry.target_gate import TargetGate
from hibiscusspar_wire.claim_gate import ClaimGate
from hibiscusspar_wire.codec import MessageCodec
from hibiscusspar_wire.config_watch import ConfigWatch
from hibiscusspar_wire.http_server import HttpServer, ServerLimits, Tls
from hibiscusspar_wire.peers import PeerClient
from hibiscusspar_wire.platform_client import PlatformClient
from hibiscusspar_wire.relay import Relay
from hibiscusspar_wire.target_client import TargetClient

__all__ = ["build_node", "seconds_since_boot"]

PEER_THREADS = 8
OPERATOR_THREADS = 4
PROCESS_ID_BYTES = 8
MESSAGES = {
    "members": (Gossip, VmRows),
    "roles": (RoleRows, RoleVersions),
    "limits": LIMIT_MESSAGES,
    "placement": PLACEMENT_MESSAGES,
    "requests": REQUEST_MESSAGES,
}


def seconds_since_boot():
    """Return the seconds since the VM booted, including the time it was suspended.

    Leases are timed by this clock: with a clock that stops while the VM is suspended,
    a lease would last longer here than its grantor assumes.
    """
    return clock_gettime(CLOCK_BOOTTIME)


def build_node(settings, request_stop):
    """Bind the ports and connect all parts of one process.

    Parameters
    ----------
    settings : Settings
    request_stop : callable
        Called when an operator drains this VM.

    Returns
    -------
    Node
    """
    clock = seconds_since_boot
    rng = random.Random(settings.seed or secrets.randbits(64))
    metrics = Metrics()
    servers = _bind_servers(settings)
    config_holder = ConfigurationHolder(clock)
    platform = PlatformClient(
        settings.platform, _child_rng(rng), settings.platform_timeout_s
    )
    peers = PeerClient(settings.peer_secret, settings.peer_timeout_s, settings.vm_id)
    target_control = TargetControl(
        config_holder.target_address, settings.connect_timeout_s
    )
    claim_gate = ClaimGate(settings.platform_timeout_s)
    systems = _build_systems(settings, servers, rng, clock(), claim_gate)
    order_runner = OrderRunner(target_control, systems.placement)
    driver = Driver(
        vm=settings.vm_id,
        systems=systems,
        codec=MessageCodec(MESSAGES),
        peers=peers,
        address_of=systems.members.address_of,
        run_platform_call=PlatformRunner(platform, metrics),
        run_order=order_runner,
        clock=clock,
        metrics=metrics,
        exchange_s=settings.exchange_s,
    )
    scheduler = Scheduler(systems.placement)
    target_gate = TargetGate(driver, scheduler, systems.placement, clock)
    driver.set_before_unlock(target_gate.before_unlock)
    open_requests = OpenRequests()
    hooks = DispatchHooks(
        zone=settings.zone,
        config_holder=config_holder,
        target_gate=target_gate,
        systems=systems,
        claim_gate=claim_gate,
        open_requests=open_requests,
        driver=driver,
        clock=clock,
        metrics=metrics,
        queue_timeout_s=settings.queue_timeout_s,
    )
    target_client = TargetClient(settings.connect_timeout_s, settings.silence_timeout_s)
    gateway = RequestGateway(
        config_holder=config_holder,
        systems=systems,
        claim_gate=claim_gate,
        relay=Relay(systems.requests, target_client, hooks, driver.locked_systems),
        open_requests=open_requests,
        driver=driver,
        rng=_identity_rng(),
        clock=clock,
        metrics=metrics,
        token_wait_s=settings.token_wait_s,
    )
    applier = ConfigurationApplier(
        settings.zone, config_holder, systems, scheduler, open_requests, driver
    )
    config_watch = ConfigWatch(
        platform,
        peers,
        systems.members,
        driver.locked_systems,
        applier,
        _child_rng(rng),
    )
    parts = Parts(
        settings=settings,
        servers=servers,
        driver=driver,
        systems=systems,
        gateway=gateway,
        scheduler=scheduler,
        open_requests=open_requests,
        target_control=target_control,
        config_holder=config_holder,
        config_watch=config_watch,
        metrics=metrics,
    )
    return Node(parts, request_stop)


def _build_systems(settings, servers, rng, now, claim_gate):
    vm, zone = settings.vm_id, settings.zone
    address = f"{settings.address}:{servers.peer.port}"
    members = MemberSystem(vm, zone, address, _child_rng(rng), settings.peers)
    roles = RoleSystem(vm, zone, members, _identity_rng())
    return Systems(
        members=members,
        roles=roles,
        limits=LimitSystem(vm, zone, members, roles, _identity_rng()),
        placement=PlacementSystem(vm, zone, members, roles, _child_rng(rng), now),
        requests=RequestSystem(
            members,
            _identity_rng(),
            secrets.token_hex(PROCESS_ID_BYTES),
            on_verdict=claim_gate.on_verdict,
        ),
    )


def _identity_rng():
    """Return a generator of identifiers, seeded differently at each start.

    It doesn't depend on the ``seed`` setting, so that restarts of a process and
    processes with equal seeds don't produce equal identifiers.
    """
    return random.Random(secrets.randbits(64))


def _child_rng(rng):
    return random.Random(rng.getrandbits(64))


def _bind_servers(settings):
    host = settings.address
    caller_limits = ServerLimits(
        max_header_bytes=settings.max_header_bytes,
        max_body_bytes=settings.max_body_bytes + 1,
        threads=settings.caller_threads,
    )
    tls = None
    if settings.tls_certificate:
        tls = Tls(settings.tls_certificate, settings.tls_private_key)
    peer_limits = ServerLimits(threads=PEER_THREADS)
    operator_limits = ServerLimits(threads=OPERATOR_THREADS)
    servers = Servers(
        HttpServer(host, settings.caller_port, caller_limits, tls),
        HttpServer(host, settings.peer_port, peer_limits),
        HttpServer(host, settings.operator_port, operator_limits),
    )
    for server in servers:
        server.bind()
    return servers
