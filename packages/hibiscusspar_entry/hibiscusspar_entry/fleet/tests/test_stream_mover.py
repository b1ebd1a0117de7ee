"""Tests of the moves of streams of one node, and a model of them under faults."""

import threading
import unittest
from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from hibiscusspar_entry.fleet import stream_mover
from hibiscusspar_entry.fleet.tests.move_engines import LENGTH, MoveBench

STREAMS = 3
INDEXES = st.integers(0, STREAMS - 1)
FULL = st.sets(INDEXES, max_size=2)
ORDERS = st.permutations(range(STREAMS))
# What becomes of the next calls for copies; further ones succeed.
FATES = st.lists(
    st.sampled_from(
        ["ok", "ok", "full", "full", "lost", "dropped", "refused", "unsent"]
    ),
    max_size=3,
)
HAPPENINGS = st.sampled_from(
    ["", "", "", "", "receive", "complete", "leave", "close", "close", "break"]
)


class MoverTestCase(unittest.TestCase):
    def setUp(self):
        patch = mock.patch.object(stream_mover, "_CLOSE_LIMIT_S", 0.0)
        patch.start()
        self.addCleanup(patch.stop)
        self.bench = MoveBench()
        self.engines = self.bench.engines

    def finish(self, stream):
        while stream.outcome is None and (stream.is_running or stream.state.copy):
            stream.send()
            stream.receive()
        self.bench.run_queued()
        self.assertEqual(self.bench.scheduler.reserved, [])

    def gauge(self, name):
        return self.bench.mover.gauges()[name]


class TestStreamMover(MoverTestCase):
    def test_stream_of_a_draining_target_continues_elsewhere(self):
        stream = self.bench.stream()
        self.bench.drain("t0")
        self.bench.step()
        self.assertEqual(self.engines.calls, [("t0", "t1")])
        stream.close()
        self.assertEqual(stream.at, "t1")
        self.assertEqual(tuple(stream.state.copy), ("t0", "h1"))
        self.finish(stream)
        self.assertEqual((stream.outcome, stream.events), ("whole", LENGTH))
        self.assertEqual(stream.state.attempts, 1)
        self.assertEqual(self.gauge("streams_moved"), 1)
        self.assertEqual(self.engines.freed, [])

    def test_stream_of_a_service_without_moves_stays(self):
        engine = mock.Mock(moves=False)
        service = mock.Mock(engine=engine)
        self.bench.mover.configure(mock.Mock(services={"draft": service}))
        stream = self.bench.stream()
        self.bench.drain("t0")
        self.bench.step()
        self.assertEqual(self.engines.calls, [])
        stream.close()
        self.assertEqual(stream.outcome, "broken")

    def test_stream_of_a_target_that_says_it_leaves_moves(self):
        self.bench.stream()
        self.bench.mover.record_leaving(self.bench.scheduler.targets["t0"])
        self.bench.step()
        self.assertEqual(len(self.engines.calls), 1)

    def test_stream_stays_if_no_target_qualifies_and_is_tried_again(self):
        stream = self.bench.stream()
        self.bench.closed_targets = {"t1", "t2", "t3"}
        self.bench.drain("t0")
        self.bench.step()
        self.assertEqual(self.engines.calls, [])
        self.bench.closed_targets = {"t1", "t2"}
        self.bench.now += 0.2
        self.bench.step()
        self.assertEqual(self.engines.calls, [("t0", "t3")])
        stream.close()
        self.finish(stream)

    def test_streams_of_two_software_versions_are_not_joined(self):
        stream = self.bench.stream()
        for name in ("t1", "t2"):
            row = self.bench.scheduler.targets[name]
            self.bench.scheduler.targets[name] = row._replace(software="v2")
        self.bench.drain("t0")
        self.bench.step()
        self.assertEqual(self.engines.calls, [("t0", "t3")])
        stream.close()
        self.finish(stream)

    def test_four_moves_and_two_of_a_pair_go_on_at_a_time(self):
        streams = [self.bench.stream(f"r{i}") for i in range(6)]
        self.bench.drain("t0")
        self.bench.step()
        self.assertEqual(self.engines.calls, [("t0", "t1")] * 2 + [("t0", "t2")] * 2)
        self.bench.step()
        self.assertEqual(len(self.engines.calls), 4)
        for stream in streams[:4]:
            stream.close()
        self.bench.step()
        self.assertEqual(len(self.engines.calls), 6)
        for stream in streams[4:]:
            stream.close()
        for stream in streams:
            self.finish_one(stream)
        self.assertEqual(self.bench.scheduler.reserved, [])

    def finish_one(self, stream):
        while stream.outcome is None:
            stream.send()
            stream.receive()
        self.assertEqual((stream.outcome, stream.events), ("whole", LENGTH))

    def test_run_that_went_on_stays_at_the_source(self):
        """A refused or unsent call, or a lost one that stopped nothing, is harmless."""
        for fate in ("refused", "unsent", "dropped"):
            with self.subTest(fate=fate):
                self.setUp()
                self.engines.script = [fate]
                stream = self.bench.stream()
                self.bench.drain("t0")
                self.bench.step()
                self.finish(stream)
                self.assertEqual((stream.at, stream.outcome), ("t0", "whole"))

    def test_lost_answer_of_a_stopped_run_is_a_failed_attempt(self):
        self.engines.script = ["lost"]
        stream = self.bench.stream()
        self.bench.drain("t0")
        self.bench.step()
        stream.close()
        self.assertEqual(stream.outcome, "broken")
        self.assertEqual(self.bench.scheduler.reserved, [])

    def test_full_destination_is_replaced_by_another(self):
        self.engines.script = ["full", "ok"]
        stream = self.bench.stream()
        self.bench.drain("t0")
        self.bench.step()
        stream.close()
        self.assertEqual(self.engines.calls, [("t0", "t1"), ("t0", "t2")])
        self.assertEqual(stream.at, "t2")
        self.finish(stream)
        self.assertEqual(stream.outcome, "whole")

    def test_run_goes_back_to_its_source_if_all_are_full(self):
        self.engines.script = ["full", "full"]
        stream = self.bench.stream()
        self.bench.drain("t0")
        self.bench.step()
        stream.close()
        self.assertEqual((stream.at, stream.placement.is_reserved), ("t0", False))
        self.finish(stream)
        self.assertEqual((stream.outcome, stream.events), ("whole", LENGTH))
        self.assertEqual(self.gauge("streams_returned"), 1)

    def test_run_does_not_go_back_a_second_after_the_news(self):
        self.engines.script = ["full", "full"]
        stream = self.bench.stream()
        self.bench.drain("t0")
        self.bench.now += 0.9
        self.bench.step()
        self.bench.now += 0.2
        stream.close()
        self.assertEqual(stream.outcome, "broken")
        self.assertEqual(self.bench.scheduler.reserved, [])

    def test_destination_that_did_not_run_it_is_replaced_once(self):
        stream = self.bench.stream()
        self.bench.drain("t0")
        self.bench.step()
        stream.close()
        stream.send(is_full=True)
        self.assertEqual(self.engines.calls, [("t0", "t1"), ("t0", "t2")])
        stream.send(is_full=True)
        self.assertEqual(stream.outcome, "broken")
        self.assertEqual(self.bench.scheduler.reserved, [])

    def test_copy_of_a_caller_who_left_is_freed(self):
        stream = self.bench.stream()
        self.bench.drain("t0")
        self.bench.step()
        stream.leave()
        self.bench.run_queued()
        self.assertEqual(self.engines.freed, ["h1"])
        self.assertEqual(self.bench.scheduler.reserved, [])

    def test_copy_of_a_stream_that_completes_during_the_call_is_freed(self):
        stream = self.bench.stream()
        self.engines.during_call = lambda: stream._end("whole")
        self.bench.drain("t0")
        self.bench.step()
        self.bench.run_queued()
        self.assertEqual(self.engines.freed, ["h1"])
        stream._release()
        self.assertEqual(self.bench.scheduler.reserved, [])

    def test_relay_that_sees_the_end_first_waits_for_the_answer(self):
        stream = self.bench.stream()
        relay = threading.Thread(target=stream.close)
        self.engines.during_call = relay.start
        self.bench.drain("t0")
        self.bench.step()
        relay.join(5.0)
        self.assertEqual(stream.at, "t1")
        self.finish(stream)
        self.assertEqual(stream.outcome, "whole")

    def test_relay_waits_for_the_answer_to_a_second_try_as_well(self):
        # A try without a destination must not count as an answer to the next one.
        stream = self.bench.stream()
        self.bench.closed_targets = {"t1", "t2", "t3"}
        self.bench.drain("t0")
        self.bench.step()
        self.bench.closed_targets = set()
        self.bench.now += 0.2
        relay = threading.Thread(target=stream.close)

        def close_first():
            relay.start()
            relay.join(0.3)

        self.engines.during_call = close_first
        self.bench.step()
        relay.join(5.0)
        self.assertEqual(stream.at, "t1")
        self.finish(stream)
        self.assertEqual(stream.outcome, "whole")

    def test_stream_that_a_link_holds_back_is_closed_by_the_node(self):
        stream = self.bench.stream()
        closed = []
        stream.connection.cancel = lambda: closed.append(True)
        self.bench.drain("t0")
        self.bench.step()
        self.assertEqual(closed, [True])
        stream.close()
        self.finish(stream)

    def test_destination_of_a_request_that_ends_before_its_attempt_is_released(self):
        stream = self.bench.stream()
        self.bench.drain("t0")
        self.bench.step()
        self.assertTrue(self.bench.mover.follow(stream.state, mock.Mock()))
        stream._release()
        stream._end("caller left")
        self.assertEqual(self.bench.scheduler.reserved, [])

    def test_stream_through_a_peer_is_not_moved(self):
        stream = self.bench.stream(events=0)
        stream.connection.is_own = False
        stream.receive()
        self.bench.drain("t0")
        self.bench.step()
        self.assertEqual(self.engines.calls, [])

    def test_moved_stream_moves_again_if_its_new_target_leaves(self):
        stream = self.bench.stream()
        for name in ("t0", "t1"):
            self.bench.drain(name)
            self.bench.step()
            stream.close()
            stream.send()
            stream.receive()
        self.assertEqual(stream.at, "t2")
        self.finish(stream)
        self.assertEqual((stream.outcome, stream.events), ("whole", LENGTH))


class MoveMachine(RuleBasedStateMachine):
    """Streams whose targets leave, with each loss of an answer and each stop.

    The engines fail if two work on one request or one begins from the state of another
    request, the splitter if an event is missing or repeated, and the scheduler if a
    placement is released twice.
    """

    @initialize(draining=st.sets(st.sampled_from(["t0", "t1", "t2"]), min_size=1))
    def start(self, draining):
        self.bench = MoveBench()
        self.count = 0
        self.relays = []
        self.streams = [self.make_stream() for _ in range(STREAMS)]
        for name in sorted(draining):
            self.bench.drain(name)

    def make_stream(self):
        self.count += 1
        source = f"t{self.count % 2}"
        is_resumable = self.count % STREAMS == 0
        return self.bench.stream(f"r{self.count}", source, resumable=is_resumable)

    @rule(index=INDEXES, count=st.integers(1, 9))
    def receive(self, index, count):
        for _ in range(count):
            self.streams[index].receive()

    @rule(
        seconds=st.sampled_from([0.05, 0.2, 0.7]),
        drained=st.sampled_from(["", "", "t0", "t1", "t2"]),
        changed=st.sampled_from(["", "", "t2", "t3"]),
    )
    def change(self, seconds, drained, changed):
        """Let time pass; a target leaves, and another one closes or opens itself."""
        self.bench.now += seconds
        if drained:
            self.bench.drain(drained)
        if changed:
            self.bench.closed_targets ^= {changed}

    @rule(index=INDEXES, indexes=ORDERS, fates=FATES, full=FULL, event=HAPPENINGS)
    def move_whole(self, index, indexes, fates, full, event):
        """Make the steps of moves one after the other."""
        self.step(index, fates, "", event)
        self.close_stopped(indexes, fates[1:])
        self.send(indexes, full, fates[2:])
        self.receive(index, 2)

    @rule(index=INDEXES, fates=FATES, before=HAPPENINGS, during=HAPPENINGS)
    def step(self, index, fates, before, during):
        """Move what is due; something happens to a stream before or during a call."""
        bench = self.bench
        bench.mover.step()
        self.happen(index, before)

        def interfere():
            bench.engines.during_call = lambda: None
            self.happen(index, during)

        bench.engines.script = list(fates)
        bench.engines.during_call = interfere
        bench.run_queued()
        bench.engines.during_call = lambda: None
        bench.engines.script = []
        while self.relays:
            relay = self.relays.pop()
            relay.join(10.0)
            assert not relay.is_alive()

    def happen(self, index, event):
        stream = self.streams[index]
        if event == "receive":
            stream.receive()
        elif event == "complete":
            for _ in range(LENGTH + 1):
                stream.receive()
        elif event == "leave":
            stream.leave()
        elif event == "break" or (event == "close" and self.has_stopped(stream)):
            # It waits for the answer to the call, as the relay does.
            relay = threading.Thread(target=stream.close)
            relay.start()
            self.relays.append(relay)

    def has_stopped(self, stream):
        stopped = self.bench.engines.by_name[stream.at].stopped
        return not stream.is_running and stream.request_id in stopped

    @rule(indexes=ORDERS, fates=FATES)
    def close_stopped(self, indexes, fates):
        """Let the relays see the ends of the streams of stopped runs."""
        self.bench.engines.script = list(fates)
        for index in indexes:
            stream = self.streams[index]
            if self.has_stopped(stream) and not stream.state.copy:
                stream.close()
        self.bench.engines.script = []

    @rule(indexes=ORDERS, full=FULL, fates=FATES)
    def send(self, indexes, full, fates):
        """Send the requests of moved streams; some targets don't run them."""
        self.bench.engines.script = list(fates)
        for index in indexes:
            self.streams[index].send(index in full)
        self.bench.engines.script = []

    @rule(index=INDEXES, event=st.sampled_from(["", "", "leave", "break"]))
    def end(self, index, event):
        """End the request, or the attempt at its target; replace ended streams."""
        if event == "leave":
            self.streams[index].leave()
        elif event == "break":
            self.streams[index].close()
        for number, stream in enumerate(self.streams):
            if stream.outcome is not None:
                self.streams[number] = self.make_stream()

    @invariant()
    def at_most_one_target_works_on_a_request(self):
        for stream in self.streams:
            assert len(self.bench.engines.at_work(stream.request_id)) <= 1

    @invariant()
    def whole_streams_have_all_events(self):
        for stream in self.streams:
            assert stream.outcome != "whole" or stream.events == LENGTH

    def teardown(self):
        for stream in self.streams:
            stream.leave()
        self.bench.run_queued()
        assert not self.bench.scheduler.reserved
        assert self.bench.mover.gauges()["stream_moves_under_way"] == 0


MoveMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None
)


class TestMoveMachine(MoveMachine.TestCase):
    def setUp(self):
        patch = mock.patch.object(stream_mover, "_CLOSE_LIMIT_S", 0.0)
        patch.start()
        self.addCleanup(patch.stop)


if __name__ == "__main__":
    unittest.main()
