"""Steps on writes that are grouped into one store call."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from aspengate.errors import AspengateError, ErrorKind
from aspengate.store import ConditionFailedError, GroupedWrites, Put, StoreItem

LONG_WINDOW_S = 30.0


class CountingStore:
    """Holds items by key, and counts the calls of ``transact``."""

    def __init__(self, loses_response=False):
        self.loses_response = loses_response
        self.items = {}
        self.revision = 0
        self.calls = 0
        self.lock = threading.Lock()

    def transact(self, conditions, puts):
        with self.lock:
            self.calls += 1
            if self.loses_response:
                raise AspengateError(ErrorKind.OUTCOME_UNKNOWN, "lost")
            present = {key: self.items[key] for key in conditions if key in self.items}
            for key, revision in conditions.items():
                if (present[key].revision if key in present else 0) != revision:
                    raise ConditionFailedError(present)
            self.revision += 1
            for put in puts:
                self.items[put.key] = StoreItem(put.key, put.value, self.revision)
            return self.revision


@given("a store that counts its calls")
def counting_store(context):
    context.store = CountingStore()


@given("a store that loses its response")
def losing_store(context):
    context.store = CountingStore(loses_response=True)


@given("a store whose client raises an unexpected exception")
def raising_client(context):
    context.store = CountingStore()
    context.store.transact = None


@then("no writer is left waiting")
def no_writer_waiting(context):
    assert len(context.results) == 3 and all(context.results), context.results


def write_all(context, count):
    """Make writes on threads that start at the same time, as the writes of a sweep do."""
    writes = GroupedWrites(context.store)
    writes.expect(count)

    def write(number):
        try:
            return writes.write(Put(f"key-{number}", b"new"), 0, urgent=False)
        except (AspengateError, TypeError) as error:
            return error
        finally:
            writes.finish_expected()

    with ThreadPoolExecutor(count) as pool:
        context.results = list(pool.map(write, range(count)))


@when("{count:d} writes are expected and arrive at about the same time")
def write_expected(context, count):
    import aspengate.store._grouped as grouped

    default, grouped._GROUP_WINDOW_S = grouped._GROUP_WINDOW_S, LONG_WINDOW_S
    try:
        write_all(context, count)
    finally:
        grouped._GROUP_WINDOW_S = default


@then("all succeed with {calls:d} call")
@then("all succeed with {calls:d} calls")
def succeed_with_calls(context, calls):
    assert all(isinstance(result, int) for result in context.results), context.results
    assert context.store.calls == calls, context.store.calls


@when("{count:d} writes are expected and only an urgent one arrives")
def only_urgent_arrives(context, count):
    import aspengate.store._grouped as grouped

    default, grouped._GROUP_WINDOW_S = grouped._GROUP_WINDOW_S, LONG_WINDOW_S
    try:
        writes = GroupedWrites(context.store)
        writes.expect(count)
        started = time.monotonic()
        writes.write(Put("key-1", b"new"), 0, urgent=True)
        context.duration_s = time.monotonic() - started
    finally:
        grouped._GROUP_WINDOW_S = default


@then("it is made before the group window ends")
def made_before_window_ends(context):
    assert context.duration_s < LONG_WINDOW_S / 2, context.duration_s


@when("{count:d} writes are grouped and one item has changed before")
def one_item_changed(context, count):
    context.store.items["key-1"] = StoreItem("key-1", b"other", 7)
    write_expected(context, count)


@then("that write fails with the current item, and the others succeed")
def one_fails_alone(context):
    failed = context.results[1]
    assert isinstance(failed, ConditionFailedError), failed
    assert failed.items["key-1"].value == b"other"
    assert [context.store.items[f"key-{number}"].value for number in (0, 2)] == [b"new"] * 2


@then("all fail with an unknown outcome")
def all_outcomes_unknown(context):
    kinds = {getattr(result, "kind", None) for result in context.results}
    assert kinds == {ErrorKind.OUTCOME_UNKNOWN}, context.results
