"""Cost of membership and roles and their platform calls, in virtual time."""

from hibiscusspar.membership.messages import Beat
from hibiscusspar_wire.codec import MessageCodec
from hibiscusspar_wire.config_watch import REREAD_S, WATCH_S
from measure.fleet import ANSWER_HEADER_BYTES, REQUEST_HEADER_BYTES, Fleet
from measure.part_spread import HEARTBEAT_S, SIZES, WARM_UP_S
from measure.report import Table

__all__ = ["run"]

STEADY_S = 30.0
ROLES_PER_ZONE = 25


def run(quick):
    """Return the tables of the part."""
    sizes = SIZES[:2] if quick else SIZES
    return [_load_table(sizes), _platform_table(sizes)]


def _load_table(sizes):
    rows = []
    for zones, per_zone in sizes:
        count = zones * per_zone
        for name, uniform in (("gossip, zone-weighted", False), ("uniform", True)):
            fleet = Fleet(zones, per_zone, 0.1, 1, uniform=uniform)
            fleet.run(WARM_UP_S)
            fleet.reset_counts()
            fleet.run(STEADY_S)
            load = fleet.mean_load(STEADY_S)
            cross_zone_fraction = fleet.cross_zone_exchanges / max(1, fleet.exchanges)
            pairs = count * (count - 1)
            suspected = fleet.count_suspicions() / pairs
            rows.append(
                (
                    count,
                    name,
                    load.exchange_sides,
                    load.bytes_out,
                    cross_zone_fraction,
                    suspected,
                )
            )
        rows.append(_all_to_all_load(zones, per_zone))
    note = (
        f"Per VM, steady, {STEADY_S:g} s, 10% of the exchanges lost, all VMs alive. "
        "Bytes are what a VM sends, bodies as encoded plus "
        f"{REQUEST_HEADER_BYTES} B of headers a request and {ANSWER_HEADER_BYTES} B "
        "an answer. Suspected: part of the pairs of VMs that wrongly suspect."
    )
    columns = ("VMs", "way", "exchange sides/s", "B/s", "cross-zone part", "suspected")
    return Table("Load of membership", columns, rows, note)


def _all_to_all_load(zones, per_zone):
    count = zones * per_zone
    codec = MessageCodec({"members": (Beat,)})
    beat_bytes = len(codec.encode("vm-z0-000", [Beat("vm-z0-000", 1, 1000, 1)]))
    empty_bytes = len(codec.encode("vm-z0-000", []))
    bytes_per_exchange = (
        beat_bytes + REQUEST_HEADER_BYTES + empty_bytes + ANSWER_HEADER_BYTES
    )
    sides = 2 * (count - 1) / HEARTBEAT_S
    cross_zone_fraction = (count - per_zone) / (count - 1)
    sent = (count - 1) * bytes_per_exchange / HEARTBEAT_S
    return (
        count,
        "all-to-all heartbeats (computed)",
        sides,
        sent,
        cross_zone_fraction,
        "",
    )


def _platform_table(sizes):
    rows = []
    for zones, per_zone in sizes:
        count = zones * per_zone
        fleet = Fleet(zones, per_zone, 0.0, 1, roles_per_zone=ROLES_PER_ZONE)
        fleet.run(10.0)
        calls_at_start = fleet.platform_calls
        fleet.run(WARM_UP_S)
        fleet.reset_counts()
        fleet.run(STEADY_S)
        watching = len(fleet.watchers())
        watch_rate = watching * (1 / WATCH_S + 1 / REREAD_S)
        rows.append(
            (
                count,
                calls_at_start,
                fleet.platform_calls / STEADY_S,
                watch_rate,
                fleet.platform_calls / STEADY_S + watch_rate,
                count * (1 / WATCH_S + 1 / REREAD_S),
            )
        )
    note = (
        f"{ROLES_PER_ZONE} roles a zone. Lists and roles are counted, watches and "
        f"their reads computed from their periods ({WATCH_S:g} s and {REREAD_S:g} s). "
        "A change adds two reads and the changed chunks for each watcher; with a "
        "watch on each VM it would for each VM."
    )
    columns = (
        "VMs",
        "calls in the first 10 s",
        "lists and roles/s",
        "watches/s",
        "total/s",
        "watch on each VM/s, watches alone",
    )
    return Table("Calls of the platform by the fleet", columns, rows, note)
