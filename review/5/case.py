"""A server that has left is in use again after the sidecars were restarted in turn and one of its heartbeats came late."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))
import fleet as standin  # noqa: E402

DRAIN = 2.0  # Seconds, bound `drain`.
CONTACT = 3.0  # Seconds, bound `contact`.
GAP = 1.0  # Seconds between two SIGTERMs.


async def play(fleet, trouble):
    first, leaving = fleet.add("a", "fees", work=0.05)
    fleet.add("b", "fees", work=0.05)
    fleet.add("a", "maps")
    await fleet.configure(7, [standin.route("r-fee", "fee.example", "/fee/", "non_idempotent", "fees", timeout="3000ms"),
                              standin.route("r-map", "map.example", "/map/", "idempotent", "maps")], ["fees", "maps"])
    await fleet.start()
    await fleet.until_ready()
    fleet.is_first = False
    await asyncio.sleep(5)
    sent = {}
    clients = [asyncio.create_task(standin.pay_on_new_connections(fleet, machine, sent)) for machine in fleet.machines]
    await asyncio.sleep(1)

    # The upstream leaves: a last heartbeat that will arrive late, then the DELETE, which is acknowledged. It goes on serving.
    leaving.beating = False
    late = leaving.announcement()
    fleet.record.write("heartbeat sent, to arrive late", server=leaving.id)
    answer = await standin.call(first.control, "DELETE", f"{standin.PREFIX}instances/{leaving.id}")
    acknowledged = fleet.record.now()
    fleet.record.say(f"{first.name} acknowledged the DELETE of its upstream {leaving.id}: {answer[0] if answer else None}")
    if not answer or answer[0] != 200:
        return 2
    if trouble:
        for machine in fleet.machines:  # roll_term: one at a time.
            machine.signal(signal.SIGTERM)
            await asyncio.sleep(GAP)
        while any(machine.starts < 2 for machine in fleet.machines):
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.3)
    else:
        await asyncio.sleep(5.5)
    status = await leaving.beat(late)
    fleet.record.say(f"the late heartbeat arrives {fleet.record.now() - acknowledged:.1f} s after the DELETE was acknowledged: {status}")
    await asyncio.sleep(8)
    for task in clients:
        task.cancel()
    in_touch = max(machine.started_at for machine in fleet.machines) + CONTACT
    late_runs = [(request, run) for request, runs in leaving.runs.items() for run in runs
                 if request in sent and sent[request] > acknowledged + DRAIN and sent[request] > in_touch]
    for request, run in late_runs:
        fleet.record.write("run at the server that left", request=request, sent=f"{sent[request]:.3f}", run=f"{run:.3f}",
                           after_ack=f"{run - acknowledged:.2f}")
    fleet.record.say(f"requests that reached the server that left, sent over {DRAIN} s after the acknowledgement by machines in touch: {len(late_runs)}")
    return 1 if late_runs else 0


standin.run_case(Path(__file__).parent, play)
