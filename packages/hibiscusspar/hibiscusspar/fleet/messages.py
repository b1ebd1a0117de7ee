"""Messages between entry VMs.

Reports and most of a view carry whole states, so lost and duplicated datagrams are
harmless. A view describes only some targets; a node compares its copy of the directory
with the digests of the view, and requests the rows that it lacks with its next report.
If an order or its result is lost, the outcome of the order is unknown.
"""

from typing import NamedTuple

from msgspec import Raw, Struct

__all__ = [
    "AdapterLoad",
    "AdmissionLevel",
    "ConfigPart",
    "ConfigQuery",
    "CrashRow",
    "FleetView",
    "NodeReport",
    "OrderRequest",
    "OrderResult",
    "PermitGrant",
    "ProxyOffer",
    "QuarantineRow",
    "RetryLoan",
    "SendNotice",
    "StreamBegan",
    "TargetLoad",
    "TargetRow",
    "ViewRelay",
    "Want",
    "adapter_key",
    "adapter_label",
]


class Want(Struct, array_like=True):
    """Requests of one node that wait for an adapter.

    ``extra_copy`` asks for a further copy because the targets that hold the adapter are
    busy. ``excluded_targets`` lists the targets that the node can't use; ``zone`` is
    the zone of the node.
    """

    service: str
    model: str
    adapter: str
    waiting: int
    tokens: int
    priority: int
    extra_copy: bool
    excluded_targets: list[str] = []
    zone: str = ""


class TargetLoad(Struct, array_like=True):
    """Running requests of one target and its prompt tokens not yet processed."""

    running: int
    queued_prompt_tokens: int


class TargetRow(Struct, array_like=True):
    """A target of the directory as the coordinator sends it.

    Its adapters are sent as the ``residency`` of the view.
    """

    target_id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    born: int
    models: dict[str, int]


class CrashRow(Struct, array_like=True):
    """Crash of an incarnation of a target, with the requests that it ran.

    ``suspects`` holds digests of the requests of the reporting node and of the parts of
    their prompts, ``age_s`` is the time since the crash.
    """

    target_id: str
    born: int
    age_s: float
    suspects: list[str]


class QuarantineRow(Struct, array_like=True):
    """Verdict on a suspect after a number of crashes, the first and last of given ages.

    With 0 crashes an earlier verdict is lifted. A suspect that isn't ``refused`` is
    told to nodes that may have answered it.
    """

    suspect: str
    crashes: int
    first_age_s: float
    last_age_s: float
    refused: bool = True


class AdmissionLevel(Struct, array_like=True):
    """Part of the requests to a service that all nodes admit, by priority.

    ``shares`` maps a priority to the admitted share in [0, 1]; priorities that it lacks
    are admitted. ``room_per_s`` is the number of prompt tokens a second that callers
    who return may bring, ``booked`` the number that they were told to bring, by steps
    of half a second. ``age_s`` is the age of the demand that the level was derived
    from. ``floor`` is the share that each priority gets at least,
    ``refused_per_s`` the number of prompt tokens a second refused for lack of room.
    ``account_shares`` maps accounts that ask for more than their fair share to the
    admitted share in [0, 1]; others are not limited by account.
    """

    shares: dict[int, float]
    room_per_s: float
    booked: list[int]
    age_s: float
    floor: float = 0.0
    refused_per_s: float = 0.0
    account_shares: dict[str, float] = {}


class NodeReport(Struct, tag="report"):
    """Current state of one node.

    ``in_use`` maps each target to the adapters of its running requests, as
    ``model/adapter``, with the number of requests that started since the adapter was
    last idle. ``used`` holds the tokens that each account has used since the process
    started. ``duties`` maps the zones whose duty this node holds to its fence and
    whether it may order already. ``lacked_rows`` names targets whose rows the node's
    copy of the directory lacks or has in an older state, ``lacked_residency`` those
    whose residency the node lacks. ``limits`` holds what recent answers have told of
    the limits of targets: requests a second, None if the limit has ended, and the age
    in seconds. ``permit_demand`` counts by target the requests that wait for permits; 0
    asks for a permit for a later request. ``crashes`` holds crashes that the node saw
    and the coordinator may not know, ``answered`` suspects that were answered since,
    with the age of the answer. ``denied`` holds the tokens that each account was denied
    since the process started. ``link_mbps`` is the bandwidth of the node's link, 0 if
    it isn't known, and ``reads_packed`` whether the node can read packed datagrams.
    ``cold`` holds what the node itself has learned lately of cold targets, as in a
    view. ``speeds`` maps targets to the start of their incarnation, the seconds of a
    decoding step and the number of samples. ``asked`` holds the prompt tokens that were
    asked for, sent, and refused for lack of room since the process started, by service
    and priority. ``booked`` holds the prompt tokens that callers were told to return
    with, by service and steps of half a second from now on. ``waiting`` holds the
    prompt tokens that wait for room, by service, where priorities differ.
    ``asked_by_account`` holds, by service, priority and account, the prompt tokens that
    were asked for and refused since the process started, for the accounts that asked
    for most. ``reads_directory_changes`` is whether the node can read views that don't
    name the targets, and ``directory_digest`` the digest of the directory that it has,
    0 if none. ``call_times`` maps targets of plain services to the start of their
    incarnation, the mean seconds of their answers, the number of answers and that of
    failures in the last second. ``requests`` holds the number of callers' requests in
    the last window of the retry budget, by service. ``refused`` holds suspects that the
    node refuses though no view has told so lately, with the age of their last crash.
    """

    node: str
    start: str
    zone: str
    number: int
    loads: dict[str, TargetLoad]
    in_use: dict[str, dict[str, int]]
    wants: list[Want]
    used: dict[str, float]
    duties: dict[str, tuple[int, bool]]
    lacked_rows: list[str] = []
    lacked_residency: list[str] = []
    limits: dict[str, tuple[float | None, float]] = {}
    permit_demand: dict[str, int] = {}
    crashes: list[CrashRow] = []
    answered: dict[str, float] = {}
    denied: dict[str, float] = {}
    link_mbps: float = 0.0
    reads_packed: bool = False
    cold: dict[str, tuple[int, float, float]] = {}
    speeds: dict[str, tuple[int, float, int]] = {}
    asked: dict[str, dict[int, tuple[int, int, int]]] = {}
    booked: dict[str, list[int]] = {}
    waiting: dict[str, int] = {}
    asked_by_account: dict[str, dict[int, dict[str, tuple[int, int]]]] = {}
    reads_directory_changes: bool = False
    directory_digest: int = 0
    call_times: dict[str, tuple[int, float, int, int]] = {}
    requests: dict[str, int] = {}
    refused: dict[str, float] = {}


class FleetView(Struct, tag="view"):
    """State of the fleet as known to the coordinator at ``address``.

    ``leased`` is whether its lease is valid, so that it may order loads.
    ``residency`` holds, for some targets, a number that grows with each change and
    the adapters as ``[model/adapter, version, seconds until it is ready]``.
    ``acked`` holds the number of the last report of each node, ``levels`` the tokens
    left of each account. ``config_age_s`` and ``directory_age_s`` are the seconds
    since the sender certainly had the newest configuration and directory.
    ``directory`` names all targets, ``row_digests`` holds the joined digests of their
    rows in the same order, and ``rows`` describes some of them; ``residency_numbers``
    holds the joined numbers of their residency. ``versions`` holds the announced
    versions of adapters and the seconds since their announcement, ``held`` the zones
    whose duty some node holds. ``peers`` gives the zone and address of some nodes.
    ``limits`` holds the limits of some targets as in a report, and the requests of all
    nodes that wait for permits; it is None if the sender issues no permits.
    ``software`` lists the versions of the targets' software, and ``software_index``
    holds the position in that list of each target of ``directory``, one byte each. Both
    are apart from the rows, so that nodes of older builds find the digests of the rows
    that they expect. ``software`` is None if the sender doesn't know the versions.
    ``quarantined`` tells of some of the requests and parts of prompts that crash
    targets. ``asked`` holds the tokens a second that all nodes are asked for by
    account, None if the sender doesn't know them. ``cold`` maps some targets to the
    start of their incarnation, the seconds for which they stay cold and the age of that
    statement; None if the sender doesn't know any. ``evacuated`` lists the evacuated
    zones, known for certain ``evacuation_age_s`` ago; None if the sender doesn't know
    them. ``speeds`` maps some targets to the start of their incarnation, the factor on
    the usual times of their service and its age. ``admission`` holds levels by service,
    None if the sender derives none. ``directory_digest`` is the digest of the names of
    all targets, the digests of their rows and their software; if it isn't 0, the sender
    may leave all of these out.
    ``call_times`` maps targets of plain services to the start of their incarnation, the
    mean seconds of a call, the share of failures and the age of these. ``leaving_in``
    maps targets that end at a known time to the start of their incarnation and the
    seconds left.
    """

    node: str
    start: str
    address: str
    fence: int
    leased: bool
    number: int
    nodes: int
    acked: dict[str, int]
    loads: dict[str, TargetLoad]
    residency: dict[str, tuple[int, list[tuple[str, int, float]]]]
    levels: dict[str, float]
    config_version: int
    config_age_s: float
    directory_age_s: float
    directory: list[str]
    rows: list[TargetRow]
    versions: dict[str, tuple[int, float]]
    held: list[str]
    peers: dict[str, tuple[str, str]] = {}
    # Nodes of older builds send none.
    row_digests: bytes = b""
    residency_numbers: bytes = b""
    limits: dict[str, tuple[float | None, float, int]] | None = None
    software: list[str] | None = None
    software_index: bytes = b""
    quarantined: list[QuarantineRow] = []
    asked: dict[str, int] | None = None
    cold: dict[str, tuple[int, float, float]] | None = None
    evacuated: list[str] | None = None
    evacuation_age_s: float = 0.0
    speeds: dict[str, tuple[int, float, float]] = {}
    admission: dict[str, AdmissionLevel] | None = None
    directory_digest: int = 0
    call_times: dict[str, tuple[int, float, float, float]] = {}
    leaving_in: dict[str, tuple[int, float]] = {}


class PermitGrant(Struct, tag="permits"):
    """Permits for requests to targets with a limit, for a process of a node.

    ``fence`` is the fencing token of the coordinator; ``target_ids`` names a target
    once for each permit. A lost grant is not repeated. ``number`` tells a duplicate;
    it is 0 from nodes of older builds.
    """

    start: str
    fence: int
    target_ids: list[str]
    number: int = 0


class StreamBegan(Struct, array_like=True):
    """Origin of a stream: the service and software version that began it.

    ``stream`` is a digest of the id of the request that brought its first event.
    """

    stream: str
    service: str
    software: str


class ProxyOffer(Struct, array_like=True):
    """Offer to send requests for some services as the proxy of one node.

    ``token`` must come with each request, ``port`` is the TCP port of the sender that
    takes them, ``load`` the number of its open requests.
    """

    services: list[str]
    token: str
    port: int
    load: int


class ConfigQuery(Struct, array_like=True):
    """Question for the configuration, of a node that can't read it from the store.

    ``known`` is the version that it has, ``version`` the newer one of which it has some
    parts (0 if it has none), and ``missing`` the parts of that one that it asks for.
    """

    known: int
    version: int
    missing: list[int]


class ConfigPart(NamedTuple):
    """Part of an encoded configuration; ``digest`` is that of the whole."""

    version: int
    digest: str
    count: int
    index: int
    data: bytes


class AdapterLoad(Struct, array_like=True):
    """Load of an adapter that a target has begun, for the nodes that wait for it.

    ``adapter`` is its label, ``waiting`` the number of requests of all nodes that wait.
    """

    target_id: str
    adapter: str
    version: int
    ready_in_s: float
    waiting: int


class RetryLoan(Struct, array_like=True):
    """Retry that a process of a node asks to be lent, or that it is lent.

    ``number`` is that of the request, which the answer repeats.
    """

    start: str
    number: int
    service: str


class SendNotice(Struct, tag="sent", omit_defaults=True):
    """Requests that a node has just sent, as targets and prompt tokens.

    ``relay`` is whether the receiver forwards the notice within its zone. ``began``
    holds origins of streams; ``asked`` names streams whose origins the sender needs,
    and the receiver answers with those that it knows. ``proxy_asked`` names services
    whose targets the sender can't reach; a receiver that can answers with a
    ``proxy_offer``. ``config_asked`` asks for the configuration, and ``config_part`` is
    a part of the answer. ``loads`` holds loads that the coordinator has just ordered.
    ``full`` names brittle targets that have just turned a request away. ``slow`` holds
    targets whose speed has just changed, with the start of their incarnation and the
    factor on the usual times of their service. ``loan_asked`` asks the coordinator for
    a retry, and ``loan`` is the answer if it lends one. Older builds ignore these
    eleven.
    """

    sends: list[tuple[str, int]]
    relay: bool = False
    began: list[StreamBegan] = []
    asked: list[str] = []
    proxy_asked: list[str] = []
    proxy_offer: ProxyOffer | None = None
    config_asked: ConfigQuery | None = None
    config_part: ConfigPart | None = None
    loads: list[AdapterLoad] = []
    full: list[str] = []
    slow: list[tuple[str, int, float]] = []
    loan_asked: RetryLoan | None = None
    loan: RetryLoan | None = None


class OrderRequest(Struct, tag="order"):
    """An order that the coordinator asks the holder of a zone's duty to give.

    ``fence`` is the fencing token of the coordinator.
    """

    number: int
    start: str
    fence: int
    zone: str
    target_id: str
    operation: str
    model: str
    adapter: str
    version: int
    expected: int


class OrderResult(Struct, tag="result"):
    """Result of an order, as in ``OrderOutcome``."""

    number: int
    start: str
    result: str


class ViewRelay(Struct, tag="relay"):
    """An encoded view for a node, which also forwards it to ``addresses``."""

    addresses: list[tuple[str, int]]
    view: Raw


def adapter_label(key):
    """Return the label of a ``(model, adapter)`` key in messages."""
    return f"{key[0]}/{key[1]}"


def adapter_key(label):
    """Return the ``(model, adapter)`` key of a label."""
    model, _, adapter = label.partition("/")
    return model, adapter
