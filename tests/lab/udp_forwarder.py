"""Fake instance that forwards packets by hash, without state or peers."""

import json
import signal
import socket
import sys
import time
from urllib.request import urlopen

from magnoliaslip.packet.flow_key import fixed_offset_key
from magnoliaslip.placement.hashing import flow_hash

IDLE_BEFORE_EXIT_S = 0.6


def read_value(platform, key):
    with urlopen(f"http://{platform}/v1/values/{key}", timeout=2) as answer:
        return json.load(answer)


def main():
    with open(sys.argv[1]) as file:
        cfg = json.load(file)
    platform = cfg["platform"][0]
    index = read_value(platform, "index")["version"]
    service_at = {
        socket.inet_aton(r["address"]) + r["port"].to_bytes(2, "big"): r["service"]
        for r in read_value(platform, "routes/0")["routes"]
    }
    pools = {
        pool["service"]: [(s["address"], s["port"]) for s in pool["servers"]]
        for pool in read_value(platform, "pools/0")["pools"]
    }
    host, _, port = cfg["egress"].rpartition(":")
    egress = (host, int(port))
    host, _, port = cfg["data"].rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((host, int(port)))
    sock.settimeout(0.1)
    stopping = []
    signal.signal(signal.SIGTERM, lambda *_: stopping.append(True))
    print(f"MS200 CONFIG_IN_FORCE version={index}", file=sys.stderr)
    print(f"MS101 INSTANCE_STATE id={cfg['id']} state=serving", file=sys.stderr)
    sys.stderr.flush()
    last = time.monotonic()
    while len(stopping) < 2 and not (
        stopping and time.monotonic() - last > IDLE_BEFORE_EXIT_S
    ):
        try:
            packet = sock.recv(65535)
        except TimeoutError:
            continue
        last = time.monotonic()
        key = fixed_offset_key(packet)
        service = service_at.get(key[4:8] + key[10:12])
        if service is None:
            sock.sendto(packet, egress)
        else:
            servers = pools[service]
            sock.sendto(packet, servers[flow_hash(key) % len(servers)])


if __name__ == "__main__":
    main()
