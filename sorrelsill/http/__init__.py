"""HTTP/1.1 server and client on trio streams, based on h11. Independent of the scheduler."""

from sorrelsill.http.client import Client, MaySend, NoAnswerError, NotSentError, always_allowed
from sorrelsill.http.server import Handler, Reply, Request, Server

__all__ = [
    "Client",
    "Handler",
    "MaySend",
    "NoAnswerError",
    "NotSentError",
    "Reply",
    "Request",
    "Server",
    "always_allowed",
]
