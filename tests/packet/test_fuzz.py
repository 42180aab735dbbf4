"""Guards against packets that crash the process with an unexpected exception."""

from contextlib import suppress

from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliaslip.core.errors import PacketError
from magnoliaslip.core.links import Direction
from magnoliaslip.packet.flow_key import (
    fixed_offset_key,
    has_fixed_offsets,
    reverse_key,
    split_key,
)
from magnoliaslip.packet.segment import Segment
from magnoliaslip.packet.tunnel import Relay

fuzzed = settings(max_examples=500, deadline=None)
keys = st.binary(min_size=12, max_size=12)
segments = st.builds(
    Segment,
    keys,
    st.integers(0, 255),
    seq=st.integers(0, 2**32 - 1),
    ack=st.integers(0, 2**32 - 1),
    payload=st.binary(max_size=64),
)


@st.composite
def damaged_packets(draw):
    """A valid packet with some bytes replaced, and possibly truncated."""
    packet = bytearray(draw(segments).encode())
    for position, value in draw(
        st.lists(st.tuples(st.integers(0, 39), st.integers(0, 255)), max_size=4)
    ):
        packet[position] = value
    return bytes(packet[: draw(st.integers(0, len(packet)))])


@fuzzed
@given(segments)
def test_segments_survive_encoding(segment):
    packet = segment.encode()
    assert Segment.decode(packet) == segment
    assert has_fixed_offsets(packet)
    assert fixed_offset_key(packet) == segment.key


@fuzzed
@given(st.binary(max_size=120) | damaged_packets())
def test_any_packet_is_decoded_or_raises_packet_error(packet):
    with suppress(PacketError):
        Segment.decode(packet)


@fuzzed
@given(damaged_packets())
def test_fixed_offsets_agree_with_the_decoder(packet):
    """Guards against a cache lookup that assigns a packet to another flow."""
    if has_fixed_offsets(packet):
        with suppress(PacketError):
            assert Segment.decode(packet).key == fixed_offset_key(packet)


@fuzzed
@given(st.binary(max_size=64))
def test_any_relay_payload_is_decoded_or_raises_packet_error(payload):
    with suppress(PacketError):
        relay = Relay.decode(payload)
        assert relay.encode()[8:] == relay.packet


@fuzzed
@given(st.sampled_from(Direction), st.integers(0, 255), segments)
def test_relays_survive_encoding(direction, hops, segment):
    relay = Relay(direction, hops, segment.encode())
    assert Relay.decode(relay.encode()) == relay


@fuzzed
@given(keys)
def test_keys_split_and_reverse(key):
    assert reverse_key(reverse_key(key)) == key
    assert split_key(reverse_key(key)) == split_key(key)[::-1]
