from random import Random
from sys import getsizeof

from magnoliaslip.placement.hashing import flow_hash
from magnoliaslip.placement.records import FlowFlag, FlowRecord, FlowRecords


def test_records_agree_with_a_dict():
    # Guards against a key that is matched at a wrong offset of a packed row.
    rng = Random(3)
    records, model = FlowRecords(limit=10**6), {}
    # With few byte values and hashes, keys match across entries and share rows.
    keys = [bytes(rng.choices([0, 1], k=12)) for _ in range(300)]
    for _ in range(20_000):
        key = rng.choice(keys)
        key_hash = key[0]
        if rng.random() < 0.5:
            record = FlowRecord(*(rng.choice([0, 1, 256]) for _ in range(2)), 1, 0, 1)
            records.put(key, key_hash, record)
            model[key] = record
        elif rng.random() < 0.5:
            assert records.remove(key, key_hash) == model.pop(key, None)
        assert records.get(key, key_hash) == model.get(key)
        assert records.count == len(model)
    assert dict(records) == model


def test_record_stays_within_its_share_of_flow_memory():
    # Guards against memory above the target of 100 bytes per flow at 300,000 flows,
    # also after churn. The remaining 40 bytes are for the other state of a flow.
    rng = Random(4)
    records = FlowRecords(limit=400_000)
    for number in range(360_000):
        key = number.to_bytes(12, "big")
        records.put(key, flow_hash(key), FlowRecord(1, number & 0xFF, 2, number))
        if rng.random() < 1 / 6:
            old = rng.randrange(number + 1).to_bytes(12, "big")
            records.remove(old, flow_hash(old))
    rows = [row for row in records._rows if row is not None]
    # Each row takes a list entry, an object and a buffer with an allocator header.
    memory_bytes = sum(getsizeof(row) + 8 + 2 * 16 for row in rows)
    assert 290_000 < records.count < 310_000
    assert memory_bytes / records.count < 60


def test_eviction_prefers_closed_flows_and_spares_exceptions():
    # Guards against unbounded memory, and against the eviction of exceptions.
    records = FlowRecords(limit=2)
    for number, flags in enumerate((FlowFlag.EXCEPTION, 0, FlowFlag.CLOSED, 0)):
        key = bytes([number]) * 12
        records.put(key, 7, FlowRecord(0, 0, flags, 10 - number))
    order = []
    while (flow := records.eviction_candidate()) is not None:
        order.append(flow[0][0])
        records.remove(flow[0], 7)
    assert order == [2, 3]
