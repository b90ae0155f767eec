"""Rejects the clients that are left in the backlog of a closing listener; the close would reset them."""

from __future__ import annotations

import asyncio
import logging

from sageturn.net.closing import send_and_close
from sageturn.net.descriptors import OUT_OF_DESCRIPTORS_ERRNOS
from sageturn.net.listening_socket import BACKLOG_CONNECTIONS, ListeningSocket

log = logging.getLogger(__name__)

FINAL_ACCEPT_TIMEOUT_S = 0.3  # the rest of the shutdown's last half second is for sending the rejections
FINAL_ACCEPT_RETRY_S = 0.01


def reject_backlog(listening: ListeningSocket, rejection: bytes) -> bool:
    """Send ``rejection`` to the queued clients, which are accepted one by one on the spare descriptor.

    Returns:
        False if accepting failed for lack of descriptors or memory, otherwise True.
    """
    for _ in range(BACKLOG_CONNECTIONS):
        try:
            accepted = listening.accept_on_spare()
        except BlockingIOError:
            return True
        except OSError as error:
            if error.errno in OUT_OF_DESCRIPTORS_ERRNOS:
                return False
            log.warning("accept failed listener=%s:%d reason=%s", *listening.address, error)
            continue  # this client has disconnected; others may be queued
        finally:
            listening.reopen_spare()
        accepted.sock.setblocking(False)
        send_and_close(accepted.sock, rejection)
    return True


async def reject_backlog_and_close(listening: ListeningSocket, rejection: bytes) -> None:
    """Retry ``reject_backlog`` until it succeeds, and close ``listening``.

    The retries end after ``FINAL_ACCEPT_TIMEOUT_S``.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + FINAL_ACCEPT_TIMEOUT_S
    try:
        while loop.time() < deadline_s and not reject_backlog(listening, rejection):
            await asyncio.sleep(FINAL_ACCEPT_RETRY_S)
    finally:
        listening.close()
