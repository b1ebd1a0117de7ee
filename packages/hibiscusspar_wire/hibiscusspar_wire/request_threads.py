"""Threads of a server that grow with its open requests."""

import threading

from cheroot.workers.threadpool import ThreadPool

__all__ = ["RequestThreads"]


class RequestThreads(ThreadPool):
    """Pool of threads that grows as soon as a request finds none free.

    Parameters
    ----------
    server : cheroot.server.HTTPServer
    threads, max_threads : int
        Initial and largest number of threads.
    """

    def __init__(self, server, threads, max_threads):
        super().__init__(server, min=threads, max=max_threads)
        self._lock = threading.Lock()
        # Threads that wait for a request, less the requests that wait for a thread. A
        # thread that has just taken a request may still look idle to cheroot.
        self._free = 0
        # Threads that are counted but have not asked for a request yet.
        self._new = 0
        self.get = self._get

    @property
    def free(self):
        """Number of threads without a request, negative while requests wait."""
        return self._free

    @property
    def count(self):
        """Number of threads."""
        return len(self._threads)

    @property
    def unanswered(self):
        """Number of requests that have a thread or wait for one."""
        with self._lock:
            return self.count - self._free

    def put(self, conn):
        """Let a thread read the request that has arrived on a connection."""
        with self._lock:
            self._free -= 1
        super().put(conn)
        if self._free < 0:
            self.grow(-self._free)

    def grow(self, amount):
        """Add threads, up to the largest number or to what the system allows.

        The pool of cheroot waits for each of them to begin, in steps of 0.1 s.
        """
        with self._lock:
            for _ in range(min(amount, self.max - self.count)):
                # A thread counts before it asks for a request.
                self._free += 1
                self._new += 1
                try:
                    self._threads.append(self._spawn_worker())
                except (RuntimeError, MemoryError) as error:
                    self._free -= 1
                    self._new -= 1
                    self.server.error_log(f"starting a thread: {error!r}")
                    return

    def _get(self):
        """Return the next connection with a request; called by the threads."""
        with self._lock:
            if self._new:
                self._new -= 1
            else:
                self._free += 1
        return self._queue.get()
