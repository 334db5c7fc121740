"""Simulator protocol: the documented bytes of each record, and the error messages for malformed input."""

from __future__ import annotations

import io
import struct

import pytest

from ryepier.balancer import interface as api
from ryepier.balancer import simulator_adapter as adapter
from ryepier.balancer import simulator_protocol as protocol
from ryepier.balancer.balancer import Balancer
from ryepier.balancer.settings_parser import parse_settings
from tests.simulator_options import OPTIONS

LIST_RECORD = (
    "6e 00000000 02000000 074a1203 00 00 0000 01 0000803f 0000000000000000"
    " f211902c 01 00 0000 01 0000c03f 20145d0000000000"
)
FIRST_UPSTREAM, SECOND_UPSTREAM, REQUEST, OTHER_REQUEST = 0x03124A07, 0x2C9011F2, 0x5D3A91C4, 0x0E6F2B19

EVENTS: list[tuple[str, protocol.Record]] = [
    (
        LIST_RECORD + "50 0300 02 29000000 00000000",
        api.UpstreamsUpdated(
            api.ListKind.CACHED,
            [api.Upstream(FIRST_UPSTREAM), api.Upstream(SECOND_UPSTREAM, zone=1, weight=1.5, started_at_us=6100000)],
            41,
        ),
    ),
    (
        "46 0300 c4913a5d 00 00000000 640ad2557c3bf091 e02e0000 01 da05840000000000",
        api.RequestArrived(REQUEST, 8652250, 0, 0, 0x91F03B7C55D20A64, 12000),
    ),
    ("28 0300", protocol.InstanceStopped()),
    ("32 0300 4d000000", api.TimerFired(77)),
    ("3c 0300 192b6f0e", api.ClientDisconnected(OTHER_REQUEST)),
    (
        "0a 0300 c4913a5d 00 074a1203 0000 44480000 01 00",
        api.AttemptEnded(REQUEST, 0, FIRST_UPSTREAM, api.Outcome.OK, 18500, True),
    ),
    ("1e 0300 0200 0400 68692037", api.PeerMessage(2, b"hi 7")),
    ("14 0300 c4913a5d 00 22240000 074a1203", api.StreamStarted(REQUEST, 0, FIRST_UPSTREAM, 9250)),
    ("5a 0300 f211902c 0000 78050000 00", api.ProbeEnded(SECOND_UPSTREAM, api.Outcome.OK, 1400)),
]

ACTIONS: list[tuple[str, protocol.Reply]] = [
    ("14 0300 c4913a5d 074a1203 80380100", api.Send(REQUEST, FIRST_UPSTREAM, 80000)),
    ("5a 0300 192b6f0e", api.Fail(OTHER_REQUEST)),
    ("32 0300 ffffffff 0400 68692037", api.SendToPeer(b"hi 7")),
    ("46 0300 01", api.Subscribe()),
    ("6e 0300 f211902c", api.CloseIdle(SECOND_UPSTREAM)),
    ("28 0300 192b6f0e 90d00300", api.Reject(OTHER_REQUEST, 250000)),
    ("1e 0300 7afd870000000000 4d000000", api.SetTimer(8912250, 77)),
    ("50 0300 f211902c", api.Probe(SECOND_UPSTREAM)),
    ("78 0300 1100 74776f2073657276657273206b6e6f776e", api.Log("two servers known")),
    ("64 0300 c4913a5d 00", api.Cancel(REQUEST, 0)),
    ("3c 0300 1200 696e646578206f7574206f662072616e6765", protocol.InternalError("index out of range")),
    ("0a 0300", api.FetchList()),
]

EMPTY_BATCH = "00000000 00000000 5a5c800000000000"
BATCH_OF_THREE = (
    "2f000000 03000000 5a5c800000000000"
    "46 0300 c4913a5d 00 00000000 640ad2557c3bf091 e02e0000 01 da05840000000000"
    "32 0300 4d000000 3c 0500 192b6f0e"
)


def instance_started(text: str = OPTIONS, instance: int = 3, seed: int = 9) -> bytes:
    encoded = text.encode()
    return struct.pack("<BHQI", 100, instance, seed, len(encoded)) + encoded


def batch_frame(records: list[bytes], now_us: int = 8_412_250) -> bytes:
    body = b"".join(records)
    return struct.pack("<IIQ", len(body), len(records), now_us) + body


def serve(data: bytes) -> bytes:
    sink = io.BytesIO()
    adapter.serve(io.BytesIO(data), sink)
    return sink.getvalue()


@pytest.mark.parametrize(("text", "event"), EVENTS)
def test_documented_events_are_read(text: str, event: protocol.Record) -> None:
    data = bytes.fromhex(text)
    count = 2 if text.startswith("6e") else 1
    assert list(protocol.Decoder().read_batch(data, count)) == [(3, event)]


@pytest.mark.parametrize(("text", "action"), ACTIONS)
def test_documented_actions_are_written(text: str, action: protocol.Reply) -> None:
    assert protocol.encode_action(3, action) == bytes.fromhex(text)


def test_documented_frames_are_read_and_written() -> None:
    assert serve(bytes.fromhex(EMPTY_BATCH)) == bytes.fromhex("00000000 00000000")
    events = list(protocol.Decoder().read_batch(bytes.fromhex(BATCH_OF_THREE)[16:], 3))
    assert [(i, type(e).__name__) for i, e in events] == [
        (3, "RequestArrived"),
        (3, "TimerFired"),
        (5, "ClientDisconnected"),
    ]
    records = [
        protocol.encode_action(3, ACTIONS[0][1]),
        protocol.encode_action(3, ACTIONS[6][1]),
        bytes.fromhex("78 0500 1100 74776f2073657276657273206b6e6f776e"),
    ]
    assert protocol.encode_reply(records) == bytes.fromhex(
        "34000000 03000000 14 0300 c4913a5d 074a1203 80380100 1e 0300 7afd870000000000 4d000000"
        "78 0500 1100 74776f2073657276657273206b6e6f776e"
    )


def test_request_passes_through_the_adapter() -> None:
    start_records = [instance_started(), bytes.fromhex(LIST_RECORD), bytes.fromhex("50 0300 02 29000000 00000000")]
    arrival = bytes.fromhex(EVENTS[1][0])
    replies = serve(batch_frame(start_records) + batch_frame([arrival]))
    size, _count = struct.unpack_from("<II", replies)
    code, instance, request, upstream = struct.unpack_from("<BHII", replies, 8 + size + 8)
    assert (code, instance, request) == (20, 3, REQUEST) and upstream in (FIRST_UPSTREAM, SECOND_UPSTREAM)


def test_restart_within_a_batch_forgets_all_state() -> None:
    list_event = bytes.fromhex("50 0300 02 29000000 00000000")
    start_records = [instance_started(), bytes.fromhex(LIST_RECORD), list_event]
    restart_records = [bytes.fromhex("28 0300"), instance_started(seed=10), list_event]
    late_outcome = bytes.fromhex(EVENTS[5][0])
    replies = serve(
        batch_frame(start_records)
        + batch_frame([bytes.fromhex(EVENTS[1][0])])
        + batch_frame(restart_records)
        + batch_frame([late_outcome])
    )
    assert replies.endswith(bytes(8))  # an empty reply: the new instance ignores the late outcome


def test_list_number_refers_to_the_latest_list_before_the_event() -> None:
    empty_list = bytes.fromhex("6e 00000000 00000000")
    list_event = bytes.fromhex("50 0300 01 29000000 00000000")
    data = bytes.fromhex(LIST_RECORD) + list_event + empty_list + list_event
    first, second = protocol.Decoder().read_batch(data, 4)
    assert isinstance(first[1], api.UpstreamsUpdated) and len(first[1].upstreams) == 2
    assert isinstance(second[1], api.UpstreamsUpdated) and second[1].upstreams == []


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (bytes(7), "batch 0: truncated header: 7 of 16 bytes"),
        (bytes.fromhex(EMPTY_BATCH) + bytes.fromhex(BATCH_OF_THREE)[:30], "batch 1: truncated body"),
        (batch_frame([b"\x07\x03\x00"]), "record 0 at byte 0: unknown event code 7"),
        (batch_frame([b"\x32\x03\x00\x01"]), "record 0 at byte 0: truncated"),
        (struct.pack("<IIQ", 3, 0, 5) + b"abc", "3 bytes left over"),
        (batch_frame([bytes.fromhex("50 0300 02 29000000 05000000")]), "upstream list 5 was never sent"),
        (batch_frame([bytes.fromhex("0a 0300 c4913a5d 00 074a1203 6300 44480000 01 00")]), "unknown outcome 99"),
        (batch_frame([bytes.fromhex("0a 0300 c4913a5d 00 074a1203 0000 44480000 01 01 0000c07f")]), "finite"),
        (
            batch_frame([bytes.fromhex("6e 00000000 01000000 074a1203 00 00 0000 09 0000803f 0000000000000000")]),
            "unknown upstream state 9",
        ),
        (batch_frame([instance_started("instances=3\nnonsense")]), "settings line 2: expected path=value"),
        (
            batch_frame([instance_started(OPTIONS.replace("instances=3", "instances=many"))]),
            "setting instances: expected a number",
        ),
        (batch_frame([instance_started(OPTIONS.replace("instances=3\n", ""))]), "setting instances is missing"),
        (
            batch_frame([instance_started(OPTIONS.replace("most-tries=4", "most-tries=-4"))]),
            "max_attempts of 1 or more",
        ),
        (batch_frame([instance_started(OPTIONS.replace("=at_most_once", "=sometimes"))]), "expected one of idempotent"),
        (batch_frame([instance_started(OPTIONS.replace("cancel=true", "cancel=yes"))]), "expected one of true, false"),
    ],
)
def test_malformed_input_is_reported_in_one_line(data: bytes, message: str) -> None:
    with pytest.raises(protocol.ProtocolError) as caught:
        serve(data)
    assert message in str(caught.value) and "\n" not in str(caught.value)


def test_settings_are_read_and_unknown_keys_ignored() -> None:
    settings = parse_settings(OPTIONS + "brand-new.key=1\nfees.fleet=0.2\n")
    assert settings == parse_settings(OPTIONS)
    assert [c.idempotency for c in settings.classes] == list(
        map(api.Idempotency, ["idempotent", "non_idempotent", "idempotency_key"])
    )
    assert (
        settings.classes[2].idempotency_window_us == 1_200_000
        and settings.classes[2].idempotency_scope == api.IdempotencyScope.FAILURE_DOMAIN
    )
    assert settings.tenants[1].allowance_per_s == 152.0 and settings.max_poll_interval_us == 10_000_000
    assert settings.polls_endpoints and settings.hedging and not settings.probes


def test_report_names_are_translated_and_unknown_ones_kept() -> None:
    settings = parse_settings(OPTIONS.replace("report.names=", "report.names=busy,q,moon"))
    assert settings.report_names == ["utilization", "queued", "moon"]


def test_exception_in_the_decisions_is_reported_as_an_internal_error(monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_index_error(*_: object) -> list[api.Action]:
        raise IndexError("index out of range")

    monkeypatch.setattr(Balancer, "handle", raise_index_error)
    replies = serve(batch_frame([instance_started()]) + batch_frame([bytes.fromhex("32 0300 4d000000")]))
    assert b"IndexError: index out of range" in replies


def test_instances_act_the_same_in_one_process_and_in_several() -> None:
    def run_instances(instances: list[int]) -> dict[int, list[bytes]]:
        host = adapter.InstanceHost()
        replies: dict[int, list[bytes]] = {instance: [] for instance in instances}
        start_records = [bytes.fromhex(LIST_RECORD)]
        for instance in instances:
            start_records += [
                instance_started(instance=instance, seed=instance),
                struct.pack("<BHBII", 80, instance, 2, 1, 0),
            ]
        host.handle_batch(1_000_000, len(start_records), b"".join(start_records))
        for step in range(50):
            for instance in instances:
                record = struct.pack(
                    "<BHIBIQIBQ", 70, instance, 100 * step + instance, step % 3, 0, 0, 0, 0, 1_600_000 + step
                )
                replies[instance].append(host.handle_batch(1_000_000 + step, 1, record))
        return replies

    replies_together = run_instances([1, 2, 3])
    assert replies_together == {**run_instances([1]), **run_instances([2]), **run_instances([3])}


def test_class_out_of_range_is_reported_and_ends_the_adapter() -> None:
    arrival = struct.pack("<BHIBIQIBQ", 70, 3, 1, 9, 0, 0, 0, 0, 9_000_000)
    with pytest.raises(protocol.ProtocolError, match="batch 1: instance 3: request class 9 of 3"):
        serve(batch_frame([instance_started()]) + batch_frame([arrival]))
