"""An epoll event loop with generators as coroutines, and TCP and TLS streams on it."""
