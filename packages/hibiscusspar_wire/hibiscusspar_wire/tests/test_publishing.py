"""Tests of publishing, with a stateful model of concurrent operators."""

import tempfile
import unittest
from contextlib import suppress
from pathlib import Path
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from hibiscusspar.config.model import AccountSpec, AdapterSpec, empty_configuration
from hibiscusspar.errors import ConfigErrorGroup, StepError
from hibiscusspar_wire.platform_errors import PlatformError
from hibiscusspar_wire.publishing import (
    CHUNK_KIND,
    PublishConflictError,
    PublishUnknownError,
    collect_chunks,
    issue_key,
    publish,
    publish_edit,
    read_current,
    read_directories,
    wait_for_revision,
    withdraw_key,
)
from hibiscusspar_wire.tests.fake_platform import FakePlatform

MODEL_SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    stateful_step_count=30,
)


def no_sleep(_seconds):
    return None


def declared(*names, current_version="1"):
    adapters = {n: AdapterSpec(n, "base", ("1", "2"), current_version) for n in names}
    accounts = {"mill": AccountSpec("mill", 1.0, 1.0)}
    return empty_configuration()._replace(adapters=adapters, accounts=accounts)


class TestPublish(unittest.TestCase):
    def setUp(self):
        self.platform = FakePlatform()
        rng = Random(7)
        self.rng_hex = lambda count: rng.randbytes(count).hex()

    def publish(self, configuration, base=None, author="ann"):
        version = read_current(self.platform).version if base is None else base
        return publish(
            self.platform, configuration, version, author, self.rng_hex, pause=no_sleep
        )

    def test_publishes_first_and_next_revision(self):
        self.assertEqual(self.publish(declared("larch")).revision, 1)
        done = self.publish(declared("larch", "oak"))
        self.assertEqual((done.revision, done.chunks), (2, 1))
        found = read_current(self.platform).configuration
        self.assertEqual(set(found.adapters), {"larch", "oak"})

    def test_conflict_reports_author_revision_and_changes(self):
        self.publish(declared("larch"))
        base = read_current(self.platform)
        self.publish(declared("oak"), author="bob")
        with self.assertRaises(PublishConflictError) as caught:
            publish(
                self.platform,
                declared("elm"),
                base.version,
                "ann",
                self.rng_hex,
                base_configuration=base.configuration,
            )
        self.assertEqual(
            (caught.exception.author, caught.exception.revision), ("bob", 2)
        )
        names = [(c.action, c.name) for c in caught.exception.changes]
        self.assertEqual(names, [("removed", "larch"), ("added", "oak")])
        self.assertEqual(
            set(read_current(self.platform).configuration.adapters), {"oak"}
        )

    def test_lost_answer_of_any_write_publishes_at_most_once(self):
        for position in range(40):
            for fault in ("lost", "dropped"):
                with self.subTest(position=position, fault=fault):
                    self.platform = FakePlatform()
                    self.publish(declared("larch"))
                    base = read_current(self.platform).version
                    self.platform.faults = ["ok"] * position + [fault]
                    try:
                        done = self.publish(declared("oak"), base)
                    except PlatformError:
                        self.platform.faults = []
                        found = read_current(self.platform).configuration
                        self.assertEqual(set(found.adapters), {"larch"})
                        continue
                    self.platform.faults = []
                    found = read_current(self.platform)
                    self.assertEqual(done.revision, 2)
                    self.assertEqual(found.version, done.version)
                    self.assertEqual(set(found.configuration.adapters), {"oak"})

    def test_outage_after_the_root_was_sent_is_an_unknown_outcome(self):
        self.publish(declared("larch"))
        base = read_current(self.platform).version
        writes = self._count_publish_calls(base)
        self.platform.faults = ["ok"] * (writes - 1) + ["lost"] + ["refused"] * 99
        with self.assertRaises(PublishUnknownError) as caught:
            self.publish(declared("oak"), base)
        self.platform.faults = []
        found = read_current(self.platform)
        self.assertEqual(found.root["write_id"], caught.exception.write_id)
        self.assertEqual(found.configuration.revision, caught.exception.revision)

    def _count_publish_calls(self, base, name="oak"):
        copy = FakePlatform()
        copy.objects = dict(self.platform.objects)
        copy.version = self.platform.version
        publish(copy, declared(name), base, "ann", self.rng_hex)
        return copy.calls

    def test_interrupted_publish_keeps_the_old_revision(self):
        self.publish(declared("larch"))
        base = read_current(self.platform).version
        for position in range(1, self._count_publish_calls(base)):
            self.platform.faults = ["ok"] * position + ["refused"] * 99
            with self.assertRaises(StepError):
                self.publish(declared("oak"), base)
            self.platform.faults = []
            found = read_current(self.platform)
            self.assertEqual((found.configuration.revision, found.version), (1, base))

    def test_keys_survive_publishing_and_stay_withdrawn(self):
        self.publish(declared("larch"))
        issue_key(self.platform, "mill", "k1", "ab" * 32, "ann", self.rng_hex)
        self.publish(declared("oak"))
        done = withdraw_key(self.platform, "k1", "ann", self.rng_hex)
        self.assertEqual((done.revision, done.chunks), (4, 1))
        self.publish(declared("larch"))
        found = read_current(self.platform).configuration
        self.assertTrue(found.keys["ab" * 32].withdrawn)
        with self.assertRaises(StepError):
            issue_key(self.platform, "mill", "k1", "cd" * 32, "ann", self.rng_hex)

    def test_key_of_unknown_account_or_id_is_refused(self):
        self.publish(declared("larch"))
        with self.assertRaises(StepError):
            issue_key(self.platform, "nobody", "k", "ab", "ann", self.rng_hex)
        with self.assertRaises(StepError):
            withdraw_key(self.platform, "k", "ann", self.rng_hex)

    def test_edit_is_applied_again_after_a_conflict(self):
        self.publish(declared("larch"))
        base_reads = self._count_publish_calls(read_current(self.platform).version)
        other = lambda: self._publish_without_faults(declared("oak"))  # noqa: E731
        self.platform.faults = ["ok"] * (base_reads - 1) + [other]
        done = issue_key(self.platform, "mill", "k1", "ab", "ann", self.rng_hex)
        found = read_current(self.platform).configuration
        self.assertEqual((set(found.adapters), set(found.keys)), ({"oak"}, {"ab"}))
        self.assertEqual(done.revision, 3)

    def _publish_without_faults(self, configuration):
        faults, self.platform.faults = self.platform.faults, []
        self.publish(configuration, author="bob")
        self.platform.faults = faults

    def test_collection_during_a_publication_keeps_its_chunks(self):
        self.publish(declared("larch"))
        self.publish(declared("oak"))
        calls = self._count_publish_calls(read_current(self.platform).version, "larch")
        for position in range(calls):
            with self.subTest(position=position):
                base = read_current(self.platform).version
                self.platform.faults = ["ok"] * position + [
                    self._collect_without_faults
                ]
                try:
                    self.publish(declared("larch"), base)
                except PublishConflictError:
                    self.publish(declared("larch"))
                self.assertEqual(self.platform.faults, [])
                self.assertIn(
                    "larch", read_current(self.platform).configuration.adapters
                )
                self.publish(declared("oak"))

    def test_publication_during_a_collection_keeps_its_chunks(self):
        for position in range(6):
            with self.subTest(position=position):
                self.platform = FakePlatform()
                self.publish(declared("larch"))
                self.publish(declared("oak"))
                other = lambda: self._publish_without_faults(declared("larch"))  # noqa: E731
                self.platform.faults = ["ok"] * position + [other]
                with suppress(PublishConflictError):
                    collect_chunks(self.platform, self.rng_hex, no_sleep)
                self.platform.faults = []
                self.assertTrue(read_current(self.platform).configuration.adapters)

    def _collect_without_faults(self):
        faults, self.platform.faults = self.platform.faults, []
        collect_chunks(self.platform, self.rng_hex, no_sleep)
        self.platform.faults = faults

    def test_publication_before_the_root_is_written_is_a_conflict(self):
        other = lambda: self._publish_without_faults(declared("elm"))  # noqa: E731
        self.publish(declared("larch"))
        for position in range(
            self._count_publish_calls(read_current(self.platform).version)
        ):
            with self.subTest(position=position):
                self.platform = FakePlatform()
                self.publish(declared("larch"))
                base = read_current(self.platform).version
                self.platform.faults = ["ok"] * position + [other]
                with self.assertRaises(PublishConflictError) as caught:
                    self.publish(declared("oak"), base)
                self.assertEqual(caught.exception.author, "bob")
                found = read_current(self.platform).configuration
                self.assertEqual(set(found.adapters), {"elm"})

    def test_lost_answer_is_found_in_the_history_of_a_later_revision(self):
        self.publish(declared("larch"))
        base = read_current(self.platform).version
        calls = self._count_publish_calls(base)
        other = lambda: self._publish_without_faults(declared("elm"))  # noqa: E731
        self.platform.faults = ["ok"] * (calls - 1) + ["lost", other]
        done = self.publish(declared("oak"), base)
        self.assertEqual(done.revision, 2)
        self.assertEqual(read_current(self.platform).configuration.revision, 3)

    def test_collection_deletes_unused_chunks(self):
        self.publish(declared("larch"))
        self.publish(declared("oak"))
        self.assertEqual(collect_chunks(self.platform, self.rng_hex), 1)
        self.assertEqual(collect_chunks(self.platform, self.rng_hex), 0)
        self.assertIn("oak", read_current(self.platform).configuration.adapters)


class TestWaitForRevision(unittest.TestCase):
    def test_returns_the_nodes_that_lag_behind(self):
        times = iter(range(100))
        behind = wait_for_revision(
            lambda: {"a": 3, "b": 2}, 3, 5, lambda: next(times), no_sleep
        )
        self.assertEqual(behind, ["b"])
        answers = iter([{"a": 2}, {"a": 3}])
        clock = lambda: 0.0  # noqa: E731
        self.assertEqual(
            wait_for_revision(lambda: next(answers), 3, 5, clock, no_sleep), []
        )


class TestReadDirectories(unittest.TestCase):
    def test_errors_of_syntax_and_content_are_reported_together(self):
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, "a.toml").write_text("x = [")
            Path(folder, "b.toml").write_text("[[models]]\nname = 3\n")
            with self.assertRaises(ConfigErrorGroup) as caught:
                read_directories([folder, Path(folder, "none")])
        found = {(Path(e.file).name, e.key_path) for e in caught.exception.exceptions}
        expected = {
            ("a.toml", "(file)"),
            ("b.toml", "models.0.name"),
            ("none", "(path)"),
        }
        self.assertEqual(found, expected)


class PublishingModel(RuleBasedStateMachine):
    """Operators who publish, edit and collect chunks while any call may fail."""

    def __init__(self):
        super().__init__()
        self.platform = FakePlatform()
        self.rng = Random(11)
        self.accepted = {0: frozenset()}
        self.unknown = {}
        self.last_seen_revisions = [0, 0, 0]

    def rng_hex(self, count):
        return self.rng.randbytes(count).hex()

    faults = st.lists(
        st.sampled_from(["ok", "ok", "ok", "refused", "lost", "dropped"]), max_size=24
    )
    name_sets = st.frozensets(st.sampled_from(["larch", "oak", "elm"]), max_size=3)

    def attempt(self, action, faults, content):
        """Run an action with faults and record the outcome that it reported."""
        self.platform.faults = list(faults)
        try:
            done = action()
        except PublishUnknownError as error:
            self.unknown[error.revision] = error.write_id
        except StepError:
            return
        else:
            if content is not None:
                assert done.revision not in self.accepted
                self.accepted[done.revision] = content(done)
        finally:
            self.platform.faults = []

    @rule(names=name_sets, faults=faults, stale=st.booleans())
    def publish(self, names, faults, stale):
        if not self.has_root():
            version = 0
        else:
            version = read_current(self.platform).version - (1 if stale else 0)
        self.attempt(
            lambda: publish(
                self.platform,
                declared(*names),
                version,
                "ann",
                self.rng_hex,
                pause=no_sleep,
            ),
            faults,
            lambda _: names,
        )

    @rule(faults=faults, name=st.sampled_from(["larch", "oak"]))
    def edit(self, faults, name):
        def apply(configuration):
            adapters = dict(configuration.adapters)
            adapters.pop(name, None)
            return configuration._replace(adapters=adapters)

        before = frozenset(read_current(self.platform).configuration.adapters)
        self.attempt(
            lambda: publish_edit(self.platform, apply, "bob", self.rng_hex, no_sleep),
            faults,
            lambda _: before - {name},
        )

    @rule(faults=faults)
    def collect(self, faults):
        action = lambda: collect_chunks(self.platform, self.rng_hex, no_sleep)  # noqa: E731
        self.attempt(action, faults, None)

    def has_root(self):
        return ("config-root", "current") in self.platform.objects

    @invariant()
    def configuration_in_force_is_what_its_operator_published(self):
        found = read_current(self.platform)
        revision = found.configuration.revision
        content = frozenset(found.configuration.adapters)
        if revision == 0:
            return
        if revision in self.accepted:
            assert self.accepted[revision] == content
        else:
            assert self.unknown.get(revision) == found.root["write_id"]
            self.accepted[revision] = content

    @invariant()
    def revision_never_decreases(self):
        revision = read_current(self.platform).configuration.revision
        assert revision >= max(self.accepted)
        assert all(revision >= known for known in self.last_seen_revisions)
        self.last_seen_revisions[revision % 3] = revision

    @invariant()
    def every_chunk_of_the_root_is_stored(self):
        stored = self.platform.get("config-root", "current")
        if stored is not None:
            for names in stored.value["chunks"].values():
                for name in names:
                    assert (CHUNK_KIND, name) in self.platform.objects


class TestPublishingModel(unittest.TestCase):
    def test_model(self):
        run_state_machine_as_test(PublishingModel, settings=MODEL_SETTINGS)
