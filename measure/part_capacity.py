"""Size of the state of a node and the platform by number of adapters and targets."""

import tracemalloc
from gc import collect
from random import Random
from time import process_time

from hibiscusspar.config.chunks import join_chunks, split_configuration
from hibiscusspar.config.model import (
    AccountSpec,
    AdapterSpec,
    ModelSpec,
    RouteSpec,
    ServiceSpec,
    TargetSpec,
    empty_configuration,
)
from hibiscusspar.limits.system import LimitSystem
from hibiscusspar.membership.members import MemberSystem
from hibiscusspar.membership.messages import VmEntry, VmRows
from hibiscusspar.membership.roles import RoleSystem
from hibiscusspar.outbox import Outbox
from hibiscusspar.placement.system import PlacementSystem
from measure.report import Table, line_plot

__all__ = ["run"]

SIZES = ((3000, 9, 9, 3), (12_000, 270, 120, 6), (36_000, 830, 360, 6))
ACCOUNTS = 50
MODELS = 3
KB = 1024.0


def run(quick):
    """Return the tables of the configuration and of the state of the systems."""
    sizes = SIZES[:2] if quick else SIZES
    tables = [_configuration_table(sizes), _state_table(sizes)]
    if not quick:
        _plot_memory(*tables)
    return tables


def _plot_memory(configuration, state):
    adapters = [row[0] for row in configuration.rows]
    megabytes = [row[10] for row in configuration.rows]
    placement = [row[5] / KB for row in state.rows]
    series = {
        "configuration": (adapters, megabytes),
        "placement": (adapters, placement),
    }
    line_plot("capacity", "Memory of one node", "adapters", "MB", series)


def _configuration_table(sizes):
    columns = (
        "adapters",
        "targets",
        "chunks",
        "KB in the platform",
        "largest chunk, KB",
        "chunks of one change",
        "KB of one change",
        "split, ms",
        "join, ms",
        "join after one change, ms",
        "MB on a node",
        "bytes an adapter",
    )
    rows = [_configuration_row(*size) for size in sizes]
    return Table("Configuration", columns, rows)


def _configuration_row(adapters, targets, nodes, zones):
    configuration = _configuration(adapters, targets, zones)
    (root, chunks), split_s = _timed(
        lambda: split_configuration(configuration, "w", "m")
    )
    changed = _change_one_adapter(configuration)
    _, changed_chunks = split_configuration(changed, "w", "m")
    old_names = {chunk.name for chunk in chunks}
    new = [chunk for chunk in changed_chunks if chunk.name not in old_names]
    texts = {chunk.name: chunk.text for chunk in chunks}
    _, join_s = _timed(lambda: join_chunks(root, texts))
    parsed = {}
    join_chunks(root, texts, parsed)
    changed_root, _ = split_configuration(changed, "w", "m")
    changed_texts = {chunk.name: chunk.text for chunk in new}
    _, rejoin_s = _timed(lambda: join_chunks(changed_root, changed_texts, parsed))
    size = _allocated(
        lambda: (parsed_rows := {}, join_chunks(root, texts, parsed_rows))
    )
    return (
        adapters,
        targets,
        len(chunks),
        sum(len(chunk.text) for chunk in chunks) / KB,
        max(len(chunk.text) for chunk in chunks) / KB,
        len(new),
        sum(len(chunk.text) for chunk in new) / KB,
        1000.0 * split_s,
        1000.0 * join_s,
        1000.0 * rejoin_s,
        size / KB**2,
        size / adapters,
    )


def _state_table(sizes):
    columns = (
        "nodes",
        "targets",
        "accounts",
        "members, KB",
        "limits, KB",
        "placement, KB",
        "apply, ms",
        "tick of all, us",
    )
    rows = [_state_row(*size) for size in sizes]
    note = "Tables of one node that has applied the configuration and got no load."
    return Table("Systems of one node", columns, rows, note)


def _state_row(adapters, targets, nodes, zones):
    configuration = _configuration(adapters, targets, zones)
    rng = Random(1)
    systems = {}

    def members():
        system = MemberSystem("vm0", "zone0", "127.0.0.1:1", rng)
        rows = tuple(
            VmEntry(
                f"vm{i}", f"zone{i % zones}", f"127.0.{i // 250}.{i % 250}:1", "live"
            )
            for i in range(nodes)
        )
        system.receive(0.0, "vm1", VmRows(1, rows), Outbox())
        system.tick(0.1, Outbox())
        systems["members"] = system

    def limits():
        system = LimitSystem("vm0", "zone0", systems["members"], roles, rng)
        system.configure(0.0, configuration, Outbox())
        systems["limits"] = system

    def placement():
        system = PlacementSystem("vm0", "zone0", systems["members"], roles, rng)
        system.configure(0.0, configuration, Outbox())
        systems["placement"] = system

    members_size = _allocated(members)
    roles = RoleSystem("vm0", "zone0", systems["members"], rng)
    limits_size = _allocated(limits)
    placement_size = _allocated(placement)
    _, apply_s = _timed(lambda: (limits(), placement()))
    return (
        nodes,
        targets,
        ACCOUNTS,
        members_size / KB,
        limits_size / KB,
        placement_size / KB,
        1000.0 * apply_s,
        _tick_us([systems["members"], roles, systems["limits"], systems["placement"]]),
    )


def _tick_us(systems, ticks=300):
    started = process_time()
    for index in range(ticks):
        out = Outbox()
        for system in systems:
            system.tick(10.0 + 0.1 * index, out)
    return 1e6 * (process_time() - started) / ticks


def _timed(action):
    started = process_time()
    result = action()
    return result, process_time() - started


def _allocated(action):
    collect()
    tracemalloc.start()
    result = action()
    collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return size


def _change_one_adapter(configuration):
    spec = configuration.adapters["adapter-00007"]
    adapters = configuration.adapters | {spec.name: spec._replace(current="1")}
    revision = configuration.revision + 1
    return configuration._replace(adapters=adapters, revision=revision)


def _configuration(adapters, targets, zones):
    names = [f"zone{i}" for i in range(zones)]
    fractions = tuple((zone, 1.0 / zones) for zone in names)
    accounts = [f"account-{i}" for i in range(ACCOUNTS)]
    return empty_configuration()._replace(
        revision=1,
        services={
            f"service-{m}": ServiceSpec(f"service-{m}", "engine", f"model-{m}")
            for m in range(MODELS)
        },
        routes={"/v1": RouteSpec("/v1", "service-0", True)},
        models={f"model-{m}": ModelSpec(f"model-{m}") for m in range(MODELS)},
        targets={
            f"target-{i}": TargetSpec(
                f"target-{i}",
                f"service-{i % MODELS}",
                f"10.{i // 62500}.{i // 250 % 250}.{i % 250}:8000",
                names[i % zones],
            )
            for i in range(targets)
        },
        adapters={
            f"adapter-{i:05}": AdapterSpec(
                f"adapter-{i:05}",
                f"model-{i % MODELS}",
                ("1", "2"),
                "2",
                (accounts[i % ACCOUNTS],),
            )
            for i in range(adapters)
        },
        accounts={
            name: AccountSpec(name, 1000.0, 10_000.0, zone_fractions=fractions)
            for name in accounts
        },
    )
