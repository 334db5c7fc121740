"""List and watch of EndpointSlices from an emulated API server: faults, lost events, credentials."""

from __future__ import annotations

import asyncio
import ssl
from pathlib import Path
from typing import Any

import pytest
import trustme
from kubernetes import client as kubernetes
from kubernetes import watch as kubernetes_watch

from ryepier.balancer.interface import ListKind
from ryepier.emulator.api_store import SERVICE_LABEL
from ryepier.slices import api_client, reflector
from ryepier.slices.api_client import find_access
from tests.api_server_testbed import (
    DRAINING,
    READY,
    ApiServerTestbed,
    api_server_testbed,
    run_bounded,
    slice_content,
)
from tests.network_peers import wait_until


def test_pages_and_changes_of_both_address_families_form_one_list(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reflector, "PAGE_SIZE", 2)

    async def test() -> None:
        async with api_server_testbed() as testbed:
            for index in range(5):
                testbed.put(f"s{index}", f"p{index}")
            testbed.store.put("default", "another", slice_content("p99"), {SERVICE_LABEL: "other"})
            testbed.follow()
            await wait_until(lambda: len(testbed.states()) == 5)
            assert [event.kind for event in testbed.events] == [ListKind.FULL]
            assert sum("continue=" in target for target in testbed.api.request_targets) == 2
            testbed.put("s1", "p1", draining="p1")
            testbed.put("six", "p7", family="IPv6")
            await wait_until(
                lambda: (
                    testbed.states()
                    == {"p0": READY, "p1": DRAINING, "p2": READY, "p3": READY, "p4": READY, "p7": READY}
                )
            )
            assert ("fd00::7", 80) in {
                listed_endpoint.endpoint.address
                for listed_endpoint in (testbed.source.listing.endpoints.values() if testbed.source else ())
            }

    run_bounded(test)


def test_watch_that_breaks_within_a_line_loses_no_event(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reflector, "FIRST_BACKOFF_US", 1000)

    async def test() -> None:
        async with api_server_testbed() as testbed:
            testbed.put("s1", "p1")
            testbed.follow()
            await wait_until(lambda: testbed.states() == {"p1": READY})
            testbed.api.faults.truncates_watches = True
            testbed.put("s1", "p1", draining="p1")
            await wait_until(lambda: sum("watch=true" in target for target in testbed.api.request_targets) >= 3)
            assert testbed.states() == {"p1": READY}  # an incomplete line has no effect
            testbed.api.faults.truncates_watches = False
            await wait_until(lambda: testbed.states() == {"p1": DRAINING})

    run_bounded(test)


def test_response_in_small_pieces_is_read() -> None:
    async def test() -> None:
        async with api_server_testbed() as testbed:
            testbed.api.faults.max_write_bytes, testbed.api.faults.write_pause_s = 7, 0.0
            testbed.put("s1", "p1", "p2")
            testbed.follow()
            await wait_until(lambda: len(testbed.states()) == 2)
            testbed.put("s1", "p1", "p2", draining="p2")
            await wait_until(lambda: testbed.states() == {"p1": READY, "p2": DRAINING})

    run_bounded(test)


def test_endpoints_removed_during_an_outage_are_noticed_after_compaction(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(reflector, "FIRST_BACKOFF_US", 1000)
    monkeypatch.setattr(reflector, "MAX_BACKOFF_US", 50_000)

    async def test() -> None:
        async with api_server_testbed() as testbed:
            testbed.put("s1", "p1", "p2")
            testbed.put("s2", "p3")
            testbed.follow()
            await wait_until(lambda: len(testbed.states()) == 3)
            testbed.api.close()
            testbed.put("s1", "p2", draining="p2")
            testbed.store.delete("default", "s2")
            testbed.store.compact()
            assert testbed.states() == {"p1": READY, "p2": READY, "p3": READY}  # the last list stays in use
            await testbed.api.listen("127.0.0.1", testbed.port)
            await wait_until(lambda: testbed.states() == {"p2": DRAINING})

    run_bounded(test)


def test_silent_watch_is_closed_and_reopened(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(api_client, "WATCH_GRACE_S", -0.7)  # with watch_s=1, a watch is hung after 0.3 s of silence
    monkeypatch.setattr(reflector, "FIRST_BACKOFF_US", 1000)

    async def test() -> None:
        async with api_server_testbed() as testbed:
            testbed.put("s1", "p1")
            testbed.follow(watch_s=1)
            await wait_until(lambda: testbed.states() == {"p1": READY})
            testbed.api.faults.silent = True
            testbed.put("s1", "p1", draining="p1")
            target_count = len(testbed.api.request_targets)
            await wait_until(lambda: len(testbed.api.request_targets) > target_count)
            testbed.api.faults.silent = False
            await wait_until(lambda: testbed.states() == {"p1": DRAINING})

    run_bounded(test)


def test_tls_with_client_certificate_and_rotated_token(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reflector, "FIRST_BACKOFF_US", 1000)
    authority = trustme.CA()
    authority.cert_pem.write_to_path(str(tmp_path / "ca.pem"))
    client_cert = authority.issue_cert("sidecar@example.org")
    client_cert.private_key_pem.write_to_path(str(tmp_path / "key.pem"))
    client_cert.cert_chain_pems[0].write_to_path(str(tmp_path / "cert.pem"))
    server_tls_context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    authority.issue_cert("127.0.0.1").configure_cert(server_tls_context)
    authority.configure_trust(server_tls_context)
    server_tls_context.verify_mode = ssl.CERT_REQUIRED
    token_file = tmp_path / "token"
    token_file.write_text("first\n")

    async def test() -> None:
        async with api_server_testbed(server_tls_context) as testbed:
            testbed.api.token = "first"
            testbed.put("s1", "p1")
            access = find_access(
                f"https://127.0.0.1:{testbed.port}",
                str(token_file),
                str(tmp_path / "ca.pem"),
                str(tmp_path / "cert.pem"),
                str(tmp_path / "key.pem"),
            )
            testbed.follow(access)
            await wait_until(lambda: testbed.states() == {"p1": READY})
            testbed.api.token = "second"
            testbed.api.end_connections()
            testbed.put("s1", "p1", draining="p1")
            await asyncio.sleep(0.1)
            assert testbed.states() == {"p1": READY}  # the server rejects the old token
            token_file.write_text("second\n")
            await wait_until(lambda: testbed.states() == {"p1": DRAINING})

    run_bounded(test)


def test_server_with_a_certificate_of_another_ca_is_rejected(tmp_path: Path) -> None:
    server_tls_context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    trustme.CA().issue_cert("127.0.0.1").configure_cert(server_tls_context)
    trustme.CA().cert_pem.write_to_path(str(tmp_path / "ca.pem"))

    async def test() -> None:
        async with api_server_testbed(server_tls_context) as testbed:
            testbed.put("s1", "p1")
            source = testbed.follow(
                find_access(f"https://127.0.0.1:{testbed.port}", "", str(tmp_path / "ca.pem")), is_pushed=False
            )
            await wait_until(lambda: source.client.problem_count > 0)
            assert testbed.api.request_targets == [] and {event.kind for event in testbed.events} == {ListKind.FAILED}

    run_bounded(test)


@pytest.mark.parametrize(
    "response",
    [
        b"not http at all\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n[1,2]",
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        b"HTTP/1.1 500 X\r\nContent-Length: 4\r\n\r\nbang",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ],
)
def test_invalid_response_is_retried_later(response: bytes) -> None:
    async def test() -> None:
        call_count = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal call_count
            call_count += 1
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        testbed = ApiServerTestbed()
        testbed.port = server.sockets[0].getsockname()[1]
        source = testbed.follow()
        await wait_until(lambda: call_count >= 2)
        assert source.client.problem_count >= 1 and testbed.events == []
        source.stop()
        server.close()

    run_bounded(test)


def test_emulated_api_server_satisfies_the_official_client_library() -> None:
    async def test() -> None:
        async with api_server_testbed() as testbed:
            for index in range(5):
                testbed.put(f"s{index}", f"p{index}")
            client_configuration = kubernetes.Configuration()
            client_configuration.host = f"http://127.0.0.1:{testbed.port}"
            api: Any = kubernetes.DiscoveryV1Api(kubernetes.ApiClient(client_configuration))
            selector = f"{SERVICE_LABEL}=convert"

            def list_all() -> tuple[list[Any], str]:
                slices, continue_token = [], None
                while True:
                    page = api.list_namespaced_endpoint_slice(
                        "default", label_selector=selector, limit=2, _continue=continue_token
                    )
                    slices += page.items
                    continue_token = page.metadata._continue
                    if not continue_token:
                        return slices, page.metadata.resource_version

            def follow(version: str, count: int) -> list[tuple[str, str]]:
                events = []
                watch: Any = kubernetes_watch.Watch()  # type: ignore[no-untyped-call]
                for event in watch.stream(
                    api.list_namespaced_endpoint_slice,
                    "default",
                    label_selector=selector,
                    resource_version=version,
                    timeout_seconds=5,
                    allow_watch_bookmarks=False,
                ):
                    events.append((event["type"], event["object"].metadata.name))
                    if len(events) == count:
                        watch.stop()
                return events

            slices, version = await asyncio.to_thread(list_all)
            assert [endpoint_slice.metadata.name for endpoint_slice in slices] == [f"s{index}" for index in range(5)]
            assert slices[0].endpoints[0].conditions.ready is True
            assert slices[0].endpoints[0].target_ref.uid == "p0" and slices[0].ports[0].port == 80
            follow_task = asyncio.create_task(asyncio.to_thread(follow, version, 3))
            await asyncio.sleep(0.05)
            testbed.put("s1", "p1", draining="p1")
            testbed.put("s9", "p9")
            testbed.store.delete("default", "s0")
            testbed.api.on_change()
            assert await follow_task == [("MODIFIED", "s1"), ("ADDED", "s9"), ("DELETED", "s0")]
            testbed.store.compact()
            with pytest.raises(kubernetes.ApiException) as error:
                await asyncio.to_thread(follow, version, 1)
            assert error.value.status == 410

    run_bounded(test)
