"""Tests of the moves of streams of one node, and a model of them under faults."""

import threading
import unittest
from contextlib import suppress
from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from hibiscusspar.fleet.run_weights import RunWeights
from hibiscusspar_entry.fleet import relief_watch, stream_mover
from hibiscusspar_entry.fleet.load_events import RELIEF_BEGUN, RELIEF_ENDED
from hibiscusspar_entry.fleet.tests.move_engines import LENGTH, MoveBench
from hibiscusspar_wire.dialect import CopyHandle

STREAMS = 3
INDEXES = st.integers(0, STREAMS - 1)
FULL = st.sets(INDEXES, max_size=2)
ORDERS = st.permutations(range(STREAMS))
# Least time in seconds in which a target starts again and loads its model: 0.7 s for
# the load from its disk alone, by the users' data sheets.
RESTART_S = 0.7
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
        self.assertEqual(stream.state.copy, CopyHandle("t0", "h1", RunWeights(1)))
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

    def test_run_is_not_continued_with_other_weights_of_its_model(self):
        """Guards against new weights that go on from the state of the old ones."""
        for adapter in ("", "a1"):
            self.bench = MoveBench(adapter=adapter)
            self.engines = self.bench.engines
            stream = self.bench.stream()
            for name in ("t1", "t2"):
                row = self.bench.scheduler.targets[name]
                self.bench.scheduler.targets[name] = row._replace(models={"m": 2})
            self.bench.drain("t0")
            self.bench.step()
            self.assertEqual(self.engines.calls, [("t0", "t3")])
            stream.close()
            self.finish(stream)

    def test_run_is_not_continued_by_a_process_newer_than_its_row(self):
        """Guards against targets that have started again under their ids."""
        self.engines.models = {"t1": 2}
        stream = self.bench.stream()
        self.bench.drain("t0")
        self.bench.step()
        self.assertEqual(self.engines.calls, [("t0", "t2")])
        stream.close()
        self.finish(stream)
        self.assertEqual(self.gauge("stream_destinations_other"), 1)

    def test_copy_that_arrives_late_is_not_used_by_a_restarted_target(self):
        """Guards against a freeze between the report and the copy."""
        stream = self.bench.stream()
        self.bench.drain("t0")

        def freeze():
            self.engines.during_call = lambda: None
            self.bench.now += 3.0
            self.engines.models["t1"] = 2

        self.engines.during_call = freeze
        self.bench.step()
        stream.close()
        self.assertEqual(self.engines.calls, [("t0", "t1"), ("t0", "t2")])
        self.assertEqual(stream.at, "t2")
        self.finish(stream)

    def test_state_of_a_process_newer_than_its_row_stays(self):
        self.engines.models = {"t0": 2}
        self.bench.stream()
        self.bench.drain("t0")
        self.bench.step()
        self.assertEqual(self.engines.calls, [])

    def test_rows_without_models_are_not_equal(self):
        for name, row in self.bench.scheduler.targets.items():
            self.bench.scheduler.targets[name] = row._replace(models={})
        self.engines.models = {"t0": 1, "t1": 2, "t2": None, "t3": 1}
        stream = self.bench.stream()
        self.bench.drain("t0")
        self.bench.step()
        self.assertEqual(self.engines.calls, [("t0", "t3")])
        stream.close()
        self.finish(stream)

    def test_weights_of_a_run_are_reported_if_its_answer_does_not_state_them(self):
        """Guards against a report from before the run."""
        stream = self.bench.stream(states=False)
        self.bench.drain("t0")
        self.bench.step()
        self.assertEqual(self.engines.calls, [])
        self.bench.now += 0.5
        self.bench.step()
        self.assertEqual(self.engines.calls, [("t0", "t1")])
        stream.close()
        self.finish(stream)

    def test_copies_of_an_adapter_of_unknown_version_are_not_equal(self):
        """Guards against two loads of any version, one before an announcement."""
        self.bench = MoveBench(adapter="a1")
        self.engines = self.bench.engines
        self.bench.scheduler.version = 0
        self.engines.adapters = {"t0": 1, "t1": 2, "t2": 1}
        self.engines.pending = {"t2": 2}
        stream = self.bench.stream()
        self.bench.drain("t0")
        self.bench.now += 0.5
        self.bench.step()
        # The target compares the version of an adapter that it doesn't report yet.
        self.assertEqual(self.engines.calls, [("t0", "t3")])
        stream.close()
        self.assertEqual(stream.state.copy.weights.expected, 1)
        self.finish(stream)

    def test_moved_run_keeps_the_weights_that_its_target_was_told(self):
        self.bench = MoveBench(adapter="a1")
        self.engines = self.bench.engines
        self.bench.scheduler.version = 0
        self.engines.adapters = {"t0": 1}
        stream = self.bench.stream()
        self.bench.drain("t0")
        self.bench.now += 0.5
        self.bench.step()
        stream.close()
        stream.send()
        stream.receive()
        self.bench.drain("t1")
        self.bench.step()
        self.assertEqual(self.engines.calls, [("t0", "t1"), ("t1", "t2")])

    def test_adapter_of_a_run_is_reported_after_its_first_event(self):
        """Guards against a report from before a load of the adapter."""
        self.bench = MoveBench(adapter="a1")
        self.engines = self.bench.engines
        self.bench.scheduler.version = 0
        self.bench.stream()
        self.bench.drain("t0")
        self.bench.now += 0.2
        self.bench.step()
        self.engines.adapters = {"t0": 1}
        self.bench.now += 0.2
        self.bench.step()
        self.assertEqual(self.engines.calls, [])
        self.bench.now += 0.2
        self.bench.step()
        self.assertEqual(len(self.engines.calls), 1)

    def test_run_stays_whose_version_changes_in_its_stream(self):
        """Guards against a version that was stated at the begin only."""
        for version, calls in ((1, 1), (2, 0)):
            self.bench = MoveBench()
            stream = self.bench.stream()
            self.bench.mover.record_version(stream.state, version)
            self.bench.drain("t0")
            self.bench.step()
            self.assertEqual(len(self.bench.engines.calls), calls)

    def test_run_of_unknown_weights_stays(self):
        self.engines.silent = {"t0"}
        self.bench.stream(states=False)
        self.bench.drain("t0")
        self.bench.now += 0.5
        self.bench.step()
        self.assertEqual(self.engines.calls, [])
        self.assertEqual(self.gauge("stream_loads_requested"), 0)

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

    def test_stream_whose_move_has_failed_is_not_being_moved(self):
        """It may go to another target if its own falls silent."""
        for fate in ("refused", "unsent", "dropped", "lost"):
            with self.subTest(fate=fate):
                self.setUp()
                self.engines.script = [fate]
                stream = self.bench.stream()
                self.bench.drain("t0")
                self.bench.step()
                self.assertFalse(self.bench.mover.is_moving(stream.state))

    def test_move_may_end_while_a_stream_is_asked_about(self):
        """Another thread sets the move to None once there is no destination."""
        stream = self.bench.stream()
        self.bench.drain("t0")
        self.bench.mover.step()
        run = self.bench.mover._runs[stream.state]
        move = mock.PropertyMock(side_effect=[run.move, None, None])
        with mock.patch.object(type(run), "move", move, create=True):
            self.assertTrue(self.bench.mover.is_moving(stream.state))

    def test_moved_stream_may_leave_a_destination_that_sends_nothing(self):
        stream = self.bench.stream()
        self.bench.drain("t0")
        self.bench.mover.step()
        self.assertTrue(self.bench.mover.is_moving(stream.state))
        self.bench.run_queued()
        stream.close()
        self.assertEqual(stream.at, "t1")
        self.assertFalse(self.bench.mover.is_moving(stream.state))
        stream.close("silent")
        self.assertEqual(self.bench.scheduler.reserved, [])

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


class TestErrorOfAStep(MoverTestCase):
    """Guards against streams that count as moving for ever and let no others move."""

    def test_stream_that_was_chosen_moves(self):
        stream = self.bench.stream()
        relief = self.bench.mover._relief
        with mock.patch.object(relief, "record_move", side_effect=KeyError("t0")):
            for _ in range(3):
                with suppress(KeyError):
                    self.bench.slow_down("t0")
        self.bench.run_queued()
        self.assertEqual(self.engines.calls, [("t0", "t1")])
        stream.close()
        self.finish(stream)


class TestRelief(MoverTestCase):
    """A stream at a slow target moves, and continues there if it can't."""

    def test_stream_of_a_slow_target_continues_elsewhere(self):
        stream = self.bench.stream()
        self.bench.slow_down("t0")
        self.bench.step()
        self.assertEqual(self.engines.calls, [("t0", "t1")])
        stream.close()
        self.finish(stream)
        self.assertEqual((stream.outcome, stream.events), ("whole", LENGTH))
        for name in ("stream_reliefs_begun", "streams_relieved", "streams_moved"):
            self.assertEqual(self.gauge(name), 1)

    def test_stream_stays_if_the_target_was_slow_for_less_than_a_second(self):
        self.bench.stream()
        self.bench.slow_down("t0", seconds=0.9)
        self.bench.step()
        self.assertEqual(self.engines.calls, [])

    def test_no_stream_moves_to_a_target_that_is_over_half_as_slow(self):
        self.bench.stream()
        self.bench.factors = {"t1": 1.9, "t2": 1.5}
        self.bench.slow_down("t0", 3.6)
        self.bench.step()
        self.assertEqual(self.engines.calls, [("t0", "t2")])

    def test_stream_moves_once_although_its_destination_becomes_slow_too(self):
        stream = self.bench.stream()
        self.bench.slow_down("t0")
        self.bench.step()
        stream.close()
        stream.send()
        stream.receive()
        self.assertEqual(stream.at, "t1")
        self.bench.factors = {}
        self.bench.slow_down("t1")
        self.bench.step()
        self.assertEqual(len(self.engines.calls), 1)
        self.finish(stream)
        self.assertEqual(stream.outcome, "whole")

    def test_run_goes_back_to_its_source_at_any_time(self):
        """The source isn't leaving, so no limit of a second holds."""
        self.engines.script = ["full", "full"]
        stream = self.bench.stream()
        self.bench.slow_down("t0")
        self.bench.step()
        self.bench.now += 1.5
        stream.close()
        self.assertEqual((stream.at, stream.state.copy.handle), ("t0", "h2"))
        self.finish(stream)
        self.assertEqual((stream.outcome, stream.events), ("whole", LENGTH))
        self.assertEqual(self.gauge("stream_reliefs_returned"), 1)

    def test_refused_move_leaves_the_stream_at_its_source_until_that_leaves(self):
        self.engines.script = ["refused"]
        stream = self.bench.stream()
        self.bench.slow_down("t0")
        self.bench.step()
        self.bench.step()
        self.assertEqual(len(self.engines.calls), 1)
        self.assertEqual(self.gauge("stream_reliefs_failed"), 1)
        self.bench.drain("t0")
        self.bench.step()
        self.assertEqual(len(self.engines.calls), 2)
        stream.close()
        self.finish(stream)
        self.assertEqual(stream.outcome, "whole")

    def test_stream_without_a_further_attempt_stays_until_its_target_leaves(self):
        stream = self.bench.stream(resumable=True)
        stream.state.attempts = 2
        self.bench.slow_down("t0")
        self.bench.step()
        self.assertEqual(self.engines.calls, [])
        self.bench.drain("t0")
        self.bench.step()
        self.assertEqual(len(self.engines.calls), 1)
        stream.close()
        self.finish(stream)
        self.assertEqual(stream.outcome, "whole")

    def test_stream_stays_while_the_retry_budget_has_no_room(self):
        stream = self.bench.stream(resumable=True)
        self.bench.has_retry_room = False
        self.bench.slow_down("t0")
        self.bench.step()
        self.assertEqual(self.engines.calls, [])
        self.bench.has_retry_room = True
        self.bench.step()
        self.assertEqual(len(self.engines.calls), 1)
        stream.close()
        self.finish(stream)
        self.assertEqual(stream.outcome, "whole")

    def test_source_that_dies_during_the_move_is_a_failed_attempt(self):
        stream = self.bench.stream()
        self.engines.by_name["t0"].is_up = False
        self.bench.slow_down("t0")
        self.bench.step()
        stream.close()
        self.assertEqual(stream.outcome, "broken")
        self.assertEqual(self.bench.scheduler.reserved, [])

    def test_streams_of_leaving_targets_move_first(self):
        slow = [self.bench.stream(f"s{n}", "t1") for n in range(3)]
        leaving = [self.bench.stream(f"r{n}", "t0") for n in range(3)]
        self.bench.slow_down("t1")
        self.bench.drain("t0")
        self.bench.step()
        sources = [source for source, _ in self.engines.calls]
        self.assertEqual(sources, ["t0"] * 3 + ["t1"])
        for stream in slow + leaving:
            stream.leave()

    def test_begin_and_end_of_relief_are_logged(self):
        with mock.patch.object(relief_watch, "write_records") as written:
            stream = self.bench.stream()
            self.bench.slow_down("t0")
            self.bench.step()
            self.bench.factors = {"t0": 1.0}
            self.bench.now += 3.0
            self.bench.step()
            self.bench.step()
        lines = [call.args[0][0] for call in written.call_args_list]
        self.assertEqual([event for event, _ in lines], [RELIEF_BEGUN, RELIEF_ENDED])
        self.assertEqual(lines[0][1]["reason"], "slow")
        self.assertEqual(lines[1][1]["chosen"], 1)
        stream.close()
        self.finish(stream)


class TestViews(MoverTestCase):
    def test_views_tell_how_long_leaving_targets_run(self):
        rows = self.bench.scheduler.targets
        rows["t0"] = rows["t0"]._replace(draining=True, remaining_s=2.0)
        self.bench.publish()
        self.bench.now += 0.5
        view = mock.Mock(leaving_in={})
        self.bench.mover.complete_view(view)
        self.assertEqual(view.leaving_in, {"t0": (1, 1.5)})

    def test_views_tell_nothing_where_no_stream_moves(self):
        self.bench.mover.configure(mock.Mock(services={}))
        view = mock.Mock(leaving_in={})
        self.bench.mover.complete_view(view)
        self.assertEqual(view.leaving_in, {})


class TestLoadRequests(MoverTestCase):
    """A stream without a destination waits for its adapter as a request does."""

    def setUp(self):
        super().setUp()
        self.bench = MoveBench(adapter="a")
        self.engines = self.bench.engines
        self.scheduler = self.bench.scheduler
        self.scheduler.full = {"t1", "t2", "t3"}

    def test_stream_moves_once_its_adapter_is_loaded(self):
        stream = self.bench.stream()
        self.bench.drain("t0")
        self.bench.step()
        (ticket,) = self.scheduler.waiting
        self.assertEqual(ticket.job.key, ("m", "a"))
        self.assertEqual(ticket.job.give_up_at, self.bench.now + 1.0)
        self.assertEqual(self.gauge("stream_loads_requested"), 1)
        self.scheduler.full = {"t1", "t3"}
        self.bench.now += 0.3
        self.bench.step()
        self.assertEqual(self.engines.calls, [("t0", "t2")])
        stream.close()
        self.finish(stream)
        self.assertEqual(stream.outcome, "whole")

    def test_load_is_requested_once(self):
        stream = self.bench.stream()
        self.bench.drain("t0")
        for _ in range(20):
            self.bench.step()
            self.bench.now += 0.1
        self.assertEqual(self.gauge("stream_loads_requested"), 1)
        self.assertEqual(self.scheduler.waiting, [])
        self.finish(stream)

    def test_load_is_requested_only_if_250_ms_are_left(self):
        for left_s, count in ((0.24, 0), (0.26, 1)):
            with self.subTest(left_s=left_s):
                self.setUp()
                stream = self.bench.stream()
                self.bench.drain("t0")
                self.bench.now += 1.0 - left_s
                self.bench.step()
                self.assertEqual(self.gauge("stream_loads_requested"), count)
                self.finish(stream)

    def test_request_of_a_stream_that_ended_is_withdrawn(self):
        stream = self.bench.stream()
        self.bench.drain("t0")
        self.bench.step()
        stream.leave()
        self.assertEqual(self.scheduler.waiting, [])
        self.assertEqual(self.scheduler.reserved, [])

    def test_target_is_given_up_if_the_source_leaves_no_more(self):
        """Else it would be reserved for as long as the stream runs."""
        stream = self.bench.stream()
        self.bench.publish(frozenset({"z1"}))
        self.bench.step()
        self.assertEqual(len(self.scheduler.waiting), 1)
        self.bench.publish()
        self.scheduler.full = set()
        self.bench.step()
        self.assertEqual(len(self.scheduler.reserved), 1)
        self.assertEqual(self.engines.calls, [])
        self.finish(stream)

    def test_target_that_was_closed_meanwhile_is_not_used(self):
        stream = self.bench.stream()
        self.bench.drain("t0")
        self.bench.step()
        self.scheduler.full = {"t3"}
        self.scheduler.retry(self.bench.now)
        self.bench.closed_targets = {"t1"}
        self.bench.step()
        self.assertEqual(self.engines.calls, [("t0", "t2")])
        stream.close()
        self.finish(stream)

    def test_stream_of_a_slow_target_or_without_an_adapter_requests_none(self):
        stream = self.bench.stream()
        self.bench.slow_down("t0")
        self.bench.step()
        self.assertEqual(self.scheduler.waiting, [])
        self.finish(stream)
        self.bench = MoveBench()
        self.bench.scheduler.full = {"t1", "t2", "t3"}
        stream = self.bench.stream()
        self.bench.drain("t0")
        self.bench.step()
        self.assertEqual(self.bench.scheduler.waiting, [])
        self.finish(stream)


class MoveMachine(RuleBasedStateMachine):
    """Streams whose targets leave, with each loss of an answer and each stop.

    The engines fail if two work on one request or one begins from the state of another
    request, the splitter if an event is missing or repeated, and the scheduler if a
    placement is released twice.
    """

    @initialize(
        draining=st.sets(st.sampled_from(["t0", "t1", "t2"])),
        adapter=st.sampled_from(["", "a"]),
    )
    def start(self, draining, adapter):
        self.bench = MoveBench(adapter=adapter)
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

    @rule(
        slow=st.sampled_from(["t0", "t1", "t2"]),
        factor=st.sampled_from([1.0, 2.5, 5.0, 5.0]),
        full=st.sets(st.sampled_from(["t1", "t2", "t3"])),
    )
    def slow_down(self, slow, factor, full):
        """Let a target be slow for a second or fast again; some targets are full."""
        self.bench.scheduler.full = full
        self.bench.slow_down(slow, factor)
        self.bench.run_queued()

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
        bench.scheduler.retry(bench.now)
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

    @rule(name=st.sampled_from(["t0", "t1", "t2", "t3"]))
    def restart(self, name):
        """Start a target again under its id, unseen by the directory."""
        bench = self.bench
        broken = [s for s in self.streams if s.outcome is None and s.at == name]
        bench.engines.restart(name)
        bench.now += RESTART_S
        for stream in broken:
            if not stream.state.copy:
                stream.close()

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
    def a_request_waits_for_each_stream_at_most_once(self):
        waiting = [t.job.request_id for t in self.bench.scheduler.waiting]
        assert len(waiting) == len(set(waiting))

    @invariant()
    def whole_streams_have_all_events(self):
        for stream in self.streams:
            assert stream.outcome != "whole" or stream.events == LENGTH

    def teardown(self):
        for stream in self.streams:
            stream.leave()
        self.bench.run_queued()
        assert not self.bench.scheduler.reserved
        assert not self.bench.scheduler.waiting
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
