"""Revisions of the adapters that targets hold, by which nodes find lost states."""

from functools import lru_cache

from hibiscusspar.fleet.messages import adapter_label

__all__ = [
    "NUMBER_BYTES",
    "join_numbers",
    "lacked_states",
    "low_bits",
    "residency_rows",
]

# Bytes sent of a revision. A lost change goes unnoticed only if its revision equals the
# known one in these bytes, that is, every 65,535 revisions.
NUMBER_BYTES = 2
_NUMBERS = 1 << (8 * NUMBER_BYTES)


def join_numbers(numbers):
    """Return the low bits of revisions, 0 for none, as one sequence of bytes."""
    return b"".join(map(low_bits, numbers))


def lacked_states(directory, joined, known):
    """Return the names of the targets whose known revision differs from the sent one.

    Parameters
    ----------
    directory : list of str
        Names of all targets.
    joined : bytes
        Their revisions, joined in the same order.
    known : dict of str to int
        Revisions that this node knows from the same coordinator.
    """
    lacked = []
    for index, name in enumerate(directory):
        sent = joined[index * NUMBER_BYTES : (index + 1) * NUMBER_BYTES]
        if any(sent) and low_bits(known.get(name, 0)) != sent:
            lacked.append(name)
    return lacked


def residency_rows(now, held):
    """Return the adapters of a target's ``TargetHoldings`` as a view carries them."""
    return [
        (adapter_label(key), copy.version, round(max(0.0, copy.ready_at - now), 3))
        for key, copy in held.copies.items()
    ]


# Most targets have had few changes, so their numbers are equal and low.
@lru_cache(4096)
def low_bits(number):
    """Return the low bits of a revision, as they are sent."""
    # 0 stands for no state, so no revision is sent as 0.
    low = number % (_NUMBERS - 1) + 1 if number else 0
    return low.to_bytes(NUMBER_BYTES, "big")
