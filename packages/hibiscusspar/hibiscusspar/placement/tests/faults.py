"""Faults for injection into a simulated cluster, singly or at random."""

from random import Random

from hibiscusspar.placement.tests.cluster import Cluster, all_violations, three_zones
from hibiscusspar.ports import target_owner_role

ADAPTERS = 6
VERSIONS = ("1", "2")
HEAL_S = 120.0
FINAL_STATES = {"answered", "lost", "refused"}


def small_cluster(seed):
    """Return a cluster of four nodes and four targets of two slots each.

    Half of the targets check fencing. Two loads may be in transit.
    """
    targets = [
        spec._replace(checks_fencing=index % 2 == 0)
        for index, spec in enumerate(three_zones(2, 3)[:4])
    ]
    names = {f"a{index}": VERSIONS for index in range(ADAPTERS)}
    zones = {"caerdydd": 2, "abertawe": 2}
    return Cluster(zones, targets, names, Random(seed), load_s=0.25, in_transit=2)


def submit(cluster, rng):
    """Send a request of random adapter and duration to a random node."""
    vm = rng.choice(sorted(cluster.nodes))
    adapter = f"a{rng.randrange(ADAPTERS)}"
    seconds = rng.choice((0.2, 1.0, 4.0))
    cluster.submit(vm, "drafting", adapter, rng.choice(VERSIONS), seconds)


def pause(cluster, rng):
    """Pause the process of a node for up to six seconds."""
    vm = rng.choice(sorted(cluster.nodes))
    cluster.pause(vm, 6.0 * rng.random())


def restart(cluster, rng):
    """Restart the process of a node."""
    cluster.restart(rng.choice(sorted(cluster.nodes)))


def replace_vm(cluster, rng):
    """Replace a VM by a new one."""
    vm = rng.choice(sorted(cluster.nodes))
    zone = cluster.nodes[vm].zone
    cluster.kill(vm)
    cluster.join(f"{vm}n", zone)
    cluster.assign_roles()


def hand_over(cluster, rng):
    """Hand over a role of a live owner to a node of its zone."""
    role = rng.choice(sorted(cluster.roles))
    name = role.removeprefix(target_owner_role(""))
    holder = cluster.roles[role][0]
    node = cluster.nodes.get(holder)
    if node is None or node.paused_until > cluster.now or node.roles.frozen:
        return
    zone = node.zone
    vms = sorted(vm for vm, n in cluster.nodes.items() if n.zone == zone)
    cluster.move_role(name, rng.choice(vms))


def take_over(cluster, rng):
    """Pause the owner of a target that checks fencing and reassign its role.

    The paused owner doesn't learn of it, so its orders must be fenced.
    """
    checking = [n for n, e in cluster.engines.items() if e.spec.checks_fencing]
    name = rng.choice(sorted(checking))
    holder = cluster.roles[target_owner_role(name)][0]
    node = cluster.nodes[holder]
    node.roles.frozen = dict(cluster.roles)
    cluster.pause(holder, 5.0 * rng.random())
    others = sorted(
        vm for vm, n in cluster.nodes.items() if n.zone == node.zone and vm != holder
    )
    cluster.move_role(name, rng.choice(others))
    for role, (vm, _) in list(cluster.roles.items()):
        if vm == holder and role != target_owner_role(name):
            node.roles.frozen[role] = cluster.roles[role]


def learn_roles(cluster, rng):
    """Let every running node learn the current role holders."""
    for node in cluster.nodes.values():
        if node.paused_until <= cluster.now:
            node.roles.frozen = None


def lose_messages(cluster, rng):
    """Lose, delay and duplicate a fraction of the messages."""
    cluster.loss = rng.choice((0.0, 0.1, 0.4))


def lose_answers(cluster, rng):
    """Lose a fraction of the answers to orders."""
    cluster.lost_answers = rng.choice((0.0, 0.3))


def fail_loads(cluster, rng):
    """Fail a fraction of the loads."""
    cluster.load_failures = rng.choice((0.0, 0.3))


def partition_zones(cluster, rng):
    """Partition the network between the zones, or heal the partition."""
    both = frozenset(("caerdydd", "abertawe"))
    cluster.partitions = rng.choice((set(), {both}))


def restart_engine(cluster, rng):
    """Restart a target."""
    cluster.restart_engine(rng.choice(sorted(cluster.engines)))


def suspect_node(cluster, rng):
    """Make a node suspect another one, or none."""
    node = cluster.nodes[rng.choice(sorted(cluster.nodes))]
    other = rng.choice(sorted(cluster.nodes))
    node.members.suspects = rng.choice((set(), {other}))


FAULTS = (
    pause,
    restart,
    replace_vm,
    hand_over,
    take_over,
    learn_roles,
    lose_messages,
    lose_answers,
    fail_loads,
    partition_zones,
    restart_engine,
    suspect_node,
)


def heal(cluster):
    """End all faults and run the cluster for ``HEAL_S`` seconds."""
    cluster.loss = cluster.lost_answers = cluster.load_failures = 0.0
    cluster.partitions = set()
    for node in cluster.nodes.values():
        node.members.suspects = set()
    for _ in range(int(HEAL_S / 10)):
        learn_roles(cluster, None)
        cluster.run(10.0)


def unfinished_states(cluster):
    """Return the states of the requests that are not in a final state."""
    states = [record.state for record in cluster.requests.values()]
    return [state for state in states if state not in FINAL_STATES]


def random_faults(seed, seconds, faults=FAULTS, rate=4.0, cluster=None):
    """Run a cluster under random requests and faults; return the cluster.

    The run ends at the first violation.
    """
    rng = Random(seed)
    cluster = cluster or small_cluster(seed)
    cluster.run(4.0)
    end = cluster.now + seconds
    while cluster.now < end:
        submit(cluster, rng)
        if rng.random() < 0.15:
            rng.choice(faults)(cluster, rng)
        cluster.run(rng.expovariate(rate))
        if all_violations(cluster):
            break
    return cluster
