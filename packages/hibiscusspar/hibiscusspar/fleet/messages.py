"""Messages between entry VMs.

Reports and views carry state, not changes, so a lost or doubled datagram does no
harm. A lost order or result is one without an answer.
"""

from msgspec import Raw, Struct

__all__ = [
    "FleetView",
    "NodeReport",
    "OrderRequest",
    "OrderResult",
    "SendNotice",
    "TargetLoad",
    "TargetRow",
    "ViewRelay",
    "Want",
    "adapter_key",
    "adapter_label",
]


class Want(Struct, array_like=True):
    """Requests of one node that wait for an adapter.

    ``extra_copy`` asks for a further copy because those that are resident are busy.
    ``excluded_targets`` names the targets that the node can't use, ``zone`` is that of
    the node.
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
    """Requests at one target: running ones and prompt tokens not yet read."""

    running: int
    queued_prompt_tokens: int


class TargetRow(Struct, array_like=True):
    """A target of the directory as the coordinator passes it on.

    What it holds is told by the residency of the view.
    """

    target_id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    born: int
    models: dict[str, int]


class NodeReport(Struct, tag="report"):
    """What one node does now.

    ``in_use`` holds, for each target, the adapters of its running requests as
    ``model/adapter`` and the requests that began since the adapter was last idle.
    ``used`` counts the tokens that each account took since the
    start of the process.
    ``duties`` holds the zones whose duty this node has, with its fence and whether
    it may order already.
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


class FleetView(Struct, tag="view"):
    """What the coordinator at ``address`` knows of the fleet.

    ``leased`` is whether its lease is valid, so that it may order loads.
    ``residency`` holds, for some targets, a number that grows with each change and
    the adapters as ``[model/adapter, version, seconds until it is ready]``.
    ``acked`` holds the number of the last report of each node; ``levels`` are the
    tokens left of each account. ``config_age_s`` and ``directory_age_s`` are the
    seconds since the sender surely knew the newest configuration and directory.
    ``directory`` names all targets, ``rows`` tells some of them. ``versions`` holds
    the announced versions of adapters and the seconds since they were heard of,
    ``held`` the zones whose duty some node has. ``peers`` tells zone and address of
    some nodes.
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


class SendNotice(Struct, tag="sent"):
    """What a node has just sent: targets and the prompt tokens of each request.

    ``relay`` is whether the node that gets it passes it on within its zone.
    """

    sends: list[tuple[str, int]]
    relay: bool = False


class OrderRequest(Struct, tag="order"):
    """An order that the coordinator asks the holder of a zone's duty to give.

    ``fence`` is that of the coordinator.
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
    """What became of an order: that of ``OrderOutcome``."""

    number: int
    start: str
    result: str


class ViewRelay(Struct, tag="relay"):
    """An encoded view for a node, which passes it on to the addresses."""

    addresses: list[tuple[str, int]]
    view: Raw


def adapter_label(key):
    """Return the text that names a model and adapter in messages."""
    return f"{key[0]}/{key[1]}"


def adapter_key(label):
    """Return the model and adapter that a text of a message names."""
    model, _, adapter = label.partition("/")
    return model, adapter
