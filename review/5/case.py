"""Silent connections to the store: all sidecars keep to an old configuration until their watches time out."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))
import fleet as standin  # noqa: E402

CONTACT = 3.0  # Seconds, bound `contact`.
APPLY = 2.0  # Seconds, bound `configApply`.


class Proxy:
    """Stands between the sidecars and the store. Once silenced, it forwards nothing more on the connections open by then."""

    def __init__(self, address, target):
        self.address, self.target = address, target
        self.round = 0
        self.open = 0

    async def start(self):
        ip, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, ip, int(port))

    async def serve(self, reader, writer):
        began = self.round
        ip, port = self.target.rsplit(":", 1)
        there, back = await asyncio.open_connection(ip, int(port))
        self.open += 1

        async def copy(source, sink):
            try:
                while part := await source.read(65536):
                    if self.round == began:
                        sink.write(part)
                        await sink.drain()
            except (ConnectionError, OSError):
                pass

        copies = [asyncio.create_task(copy(reader, back)), asyncio.create_task(copy(there, writer))]
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
            if self.round != began:
                await copies[0]  # Silent: open until the sidecar closes it.
        finally:
            self.open -= 1
            back.close()
            writer.close()


async def play(fleet, trouble):
    for zone in "ab":
        fleet.add(zone, "old", work=0.03)
    for zone in "ab":
        fleet.add(zone, "new", work=0.03)

    def routes(service):
        return [standin.route("r-fee", "fee.example", "/fee/", "non_idempotent", service, timeout="3000ms")]

    real = fleet.store.address
    ip, port = real.rsplit(":", 1)
    proxy = Proxy(f"{fleet.ip(201)}:{port}", real)
    await fleet.configure(7, routes("old"), ["old", "new"])
    await proxy.start()
    fleet.store_address = proxy.address
    await fleet.start()
    await fleet.until_ready()
    await asyncio.sleep(5)
    sent = {}
    clients = [asyncio.create_task(standin.pay_on_new_connections(fleet, machine, sent)) for machine in fleet.machines]
    await asyncio.sleep(1)
    fleet.record.write("open connections to the store", count=proxy.open)
    if trouble:
        proxy.round += 1
        fleet.record.say("the open connections to the store go silent; new ones work")
    silent_at = fleet.record.now()
    await asyncio.sleep(CONTACT + 1)
    await fleet.configure(8, routes("new"), ["old", "new"])
    acknowledged = fleet.record.now()
    fleet.record.say(f"version 8 is acknowledged {acknowledged - silent_at:.1f} s later: it moves the route to another service")
    await asyncio.sleep(40)
    for task in clients:
        task.cancel()
    old = [(sent[request], request) for upstream in fleet.upstreams[:2] for request in upstream.runs
           if request in sent and sent[request] > acknowledged + APPLY]
    new = [sent[request] for upstream in fleet.upstreams[2:] for request in upstream.runs if request in sent]
    for at, request in sorted(old):
        fleet.record.write("run by the old service", request=request, sent_after_ack=f"{at - acknowledged:.2f}")
    last = max(at for at, _ in old) - acknowledged if old else 0
    fleet.record.say(f"requests sent over {APPLY} s after the acknowledgement and run by the old service: {len(old)}, the last sent {last:.1f} s after it; "
                     f"run by the new service: {len(new)}, the first sent {min(new) - acknowledged if new else 0:.1f} s after it")
    return 1 if old else 0


standin.run_case(Path(__file__).parent, play)
