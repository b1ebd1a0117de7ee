"""Entry process of a fleet: targets register themselves, a coordinator plans loads."""
