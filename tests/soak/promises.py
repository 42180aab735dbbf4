"""What callers and servers may see, checked while faults are injected."""

from collections import defaultdict
from time import monotonic

# Bounds of the smallest deployment's sheet, in seconds.
CONTACT_S = 4.0
DRAIN_S = 3.0
CONFIG_S = 3.0
EVACUATE_S = 5.0
FLOW_S = 2.0
STRAY_PACKETS = 3


class Promises:
    """Records violations; a time bound holds for instances that are in touch."""

    def __init__(self, site):
        self.site = site
        self.violations = []
        self.served = self.unserved = 0
        self.runs = defaultdict(list)
        self.owners = {}  # server at which the flow is open, by flow
        self.strays = defaultdict(list)

    def fail(self, promise, text):
        self.violations.append(f"{monotonic() - self.site.began:.2f} {promise}: {text}")

    def on_open(self, server, packet):
        """A server has the end of the handshake of a flow."""
        self.owners[packet[:4]] = server

    def on_run(self, server, packet):
        request = bytes(packet.data).decode()
        self.runs[request].append(server.name)
        if request.startswith("post") and len(self.runs[request]) > 1:
            self.fail("ONCE", f"{request} ran on {self.runs[request]}")

    def on_forwarded(self, server, packet, instance):
        now = monotonic()
        self._check_flow(server, packet, instance, now)
        if not packet.flags & 16:
            return
        route = ".".join(map(str, packet.dst)), packet.dport
        if server.service not in self.site.services_ever[route]:
            self.fail("ROUTE", f"{route} at a server of {server.service}")
        if not self.site.in_touch(instance, now):
            return
        sent_on = f"a SYN was sent on by {instance}"
        if server.draining_at and now > server.draining_at + DRAIN_S:
            self.fail("DRAIN", f"{sent_on} to {server.name}, which drains")
        dropped_at = self.site.dropped_at.get(route)
        if dropped_at and now > dropped_at + CONFIG_S:
            self.fail("CONFIG", f"{sent_on} by the dropped route {route}")
        out_at = self.site.zones_out.get(server.zone)
        if out_at and now > out_at + EVACUATE_S:
            self.fail("EVAC", f"{sent_on} to zone {server.zone}")

    def on_reset(self, flow):
        """An instance reset a flow that is open at a server."""
        now = monotonic()
        route = flow.route
        key = (flow.port, route[1], flow.caller.packed, self.site.packed(route))
        owner = self.owners.get(key)
        if (
            owner is not None
            and owner.left_at is None
            and not self.site.is_disturbed(owner, now)
            and all(self.site.in_touch(host, now) for host in self.site.instances)
        ):
            self.fail("FLOW", f"{flow.port} at {owner.name} was reset")

    def on_server_reset(self, server, packet, instance):
        """A server resets a flow that it does not have."""
        now = monotonic()
        owner = self.owners.get(packet[:4])
        route = ".".join(map(str, packet.dst)), packet.dport
        if (
            owner is not None
            and owner.left_at is None
            and route not in self.site.dropped_at
            and not self.site.is_disturbed(owner, now)
            and not self.site.is_disturbed(server, now)
            and self.site.in_touch(instance, now)
        ):
            self.fail(
                "FLOW",
                f"{packet.sport} of {owner.name} was reset by {server.name}, "
                f"by way of {instance}",
            )

    def on_unserved(self, request, since):
        self.unserved += 1
        if self.site.calm_at and since > self.site.calm_at:
            self.fail("SERVED", f"{request.decode()} was not served after all faults")

    def on_exit(self, host, code):
        self.fail("EXIT", f"{host} ended by itself with {code}")

    def _check_flow(self, server, packet, instance, now):
        owner = self.owners.get(packet[:4])
        if owner is None or packet.flags & 16:
            return
        if owner is server:
            self.strays.pop(packet[:4], None)
        elif owner.left_at is None and self.site.in_touch(instance, now):
            times = self.strays[packet[:4]]
            times.append(now)
            if len(times) >= STRAY_PACKETS and now - times[0] >= FLOW_S:
                self.fail("FLOW", f"{packet.sport} of {owner.name} at {server.name}")
