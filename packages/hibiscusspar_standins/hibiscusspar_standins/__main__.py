"""Run stand-ins as a process: ``python -m hibiscusspar_standins --role engine``."""

import signal
from threading import Event

from typer import Option, run

from hibiscusspar_standins.engine import Engine
from hibiscusspar_standins.engine_http import EngineService
from hibiscusspar_standins.plain_service import PlainService
from hibiscusspar_standins.platform import Platform
from hibiscusspar_standins.server import StandinServer
from hibiscusspar_standins.weights import WeightStore, WeightStoreClient

PLATFORM_THREADS = 64


def main(
    role: str = Option(..., help="platform, engine, plain or weights"),
    port: int = Option(0, help="port to bind; the first one if count is above 1"),
    count: int = Option(1, help="number of stand-ins in this process"),
    weights: str = Option("", help="IP:port of the weight store of an engine"),
    slots: int = Option(8, help="adapter slots of an engine"),
    concurrency: int = Option(16, help="requests that an engine runs at a time"),
    tokens_per_s: float = Option(50.0, help="speed of a request that runs alone"),
    checks_fencing: bool = Option(False, help="engines refuse stale fencing numbers"),
    loads_per_s: float = Option(3.0, help="loads per second of the weight store"),
    vm_lag_s: float = Option(0.5, help="delay of the platform's list of VMs"),
):
    """Run stand-ins, print the address of each, and stop on SIGTERM or SIGINT."""
    own_weights = WeightStore() if role == "engine" and not weights else None

    def build_standin():
        match role:
            case "platform":
                return Platform(vm_lag_s=vm_lag_s)
            case "weights":
                return WeightStore(loads_per_s=loads_per_s)
            case "plain":
                return PlainService()
            case "engine":
                engine = Engine(
                    own_weights or WeightStoreClient(weights),
                    slots=slots,
                    concurrency=concurrency,
                    tokens_per_s=tokens_per_s,
                    checks_fencing=checks_fencing,
                )
                return EngineService(engine)
        raise SystemExit(f"--role {role}: expected platform, engine, plain or weights")

    threads = PLATFORM_THREADS if role == "platform" else 2 * concurrency
    ports = [port + index if port else 0 for index in range(count)]
    servers = [
        StandinServer(build_standin(), server_port, threads) for server_port in ports
    ]
    stop = Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    signal.signal(signal.SIGINT, lambda *_: stop.set())
    for server in servers:
        print(f"{role} {server.start()}", flush=True)
    stop.wait()
    for server in servers:
        server.stop()


if __name__ == "__main__":
    run(main)
